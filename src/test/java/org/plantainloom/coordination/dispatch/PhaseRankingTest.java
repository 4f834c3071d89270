package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.testng.annotations.Test;

/** Simulates a backlog that needs more than all workers have. */
public class PhaseRankingTest {
  private static JobSpec acceptedAt(String id, String queue, long acceptedMs) {
    JobSpec job = job(id, queue, tasks(4, 1_000));
    return new JobSpec(id, queue, job.payload(), job.phases(), acceptedMs, 0, 0, 0);
  }

  @Test
  public void should_start_an_urgent_queue_before_one_that_waits_longer() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 4).run(100);
    simulation.submit(acceptedAt("fill-1", "fill", simulation.nowMs));
    simulation.submit(acceptedAt("fill-2", "fill", simulation.nowMs));
    simulation.submit(acceptedAt("urgent-1", "urgent", simulation.nowMs)).run(280);
    // then
    assertThat(simulation.status("urgent-1")).isEqualTo(JobStatus.COMPLETED);
    assertThat(simulation.status("fill-2")).isNotEqualTo(JobStatus.COMPLETED);
  }

  @Test
  public void should_start_jobs_that_can_be_on_time_before_late_ones() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 4).run(100);
    simulation.submit(acceptedAt("late", "fill", simulation.nowMs - 60_000));
    simulation.submit(acceptedAt("fresh", "fill", simulation.nowMs));
    // when
    simulation.run(280);
    // then
    assertThat(simulation.status("fresh")).isEqualTo(JobStatus.COMPLETED);
    assertThat(simulation.status("late")).isNotEqualTo(JobStatus.COMPLETED);
  }
}
