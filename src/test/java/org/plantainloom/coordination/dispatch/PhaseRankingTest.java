package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.testng.annotations.Test;

/** Replays a backlog larger than the fleet. */
public class PhaseRankingTest {
  private static JobSpec acceptedAt(String id, String queue, long acceptedMs) {
    JobSpec job = job(id, queue, tasks(4, 1_000));
    return new JobSpec(id, queue, job.payload(), job.phases(), acceptedMs, 0, 0, 0);
  }

  @Test
  public void should_start_an_urgent_queue_before_one_that_waits_longer() {
    // given
    DispatcherSimulation session = new DispatcherSimulation(1, 4).run(100);
    session.submit(acceptedAt("fill-1", "fill", session.nowMs));
    session.submit(acceptedAt("fill-2", "fill", session.nowMs));
    session.submit(acceptedAt("urgent-1", "urgent", session.nowMs)).run(280);
    // then
    assertThat(session.status("urgent-1")).isEqualTo(JobStatus.COMPLETED);
    assertThat(session.status("fill-2")).isNotEqualTo(JobStatus.COMPLETED);
  }

  @Test
  public void should_serve_jobs_that_can_be_in_time_before_jobs_that_are_late_already() {
    // given
    DispatcherSimulation session = new DispatcherSimulation(1, 4).run(100);
    session.submit(acceptedAt("late", "fill", session.nowMs - 60_000));
    session.submit(acceptedAt("fresh", "fill", session.nowMs));
    // when
    session.run(280);
    // then
    assertThat(session.status("fresh")).isEqualTo(JobStatus.COMPLETED);
    assertThat(session.status("late")).isNotEqualTo(JobStatus.COMPLETED);
  }
}
