package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.Map;
import java.util.Optional;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests what an owner keeps of jobs that have ended. */
public class FinishedJobsTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);
  private static final int JOBS = 200;

  private static DispatcherSimulation completed() {
    return new DispatcherSimulation(2, 8)
        .run(100)
        .submit(job(ID, "urgent", tasks(1, 1_000)))
        .run(1_000);
  }

  /** Regression (LOST, review/7): what finished jobs needed while they ran stayed in the heap. */
  @Test
  public void should_keep_little_of_finished_jobs() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(4, 32).run(100);
    for (int i = 0; i < JOBS; i++) {
      simulation.submit(job(String.format("%016x", i), "urgent", tasks(8, 500), tasks(8, 500, 0)));
    }
    long openBytes = simulation.dispatcher.estimatedJobBytes();
    // when
    simulation.run(10_000);
    // then
    assertThat(simulation.dispatcher.openJobCount()).isZero();
    assertThat(simulation.dispatcher.estimatedJobBytes())
        .isLessThan(openBytes / 10)
        .isEqualTo(JOBS * JobFootprint.FINISHED_JOB_BYTES);
    assertThat(simulation.dispatcher.visibleStatus(String.format("%016x", 7)))
        .hasValue(JobStatus.COMPLETED);
  }

  @Test
  public void should_not_run_a_finished_job_again_that_is_submitted_again() {
    // given
    DispatcherSimulation simulation = completed();
    // when
    simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(1_000);
    // then
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.COMPLETED);
  }

  @Test
  public void should_show_a_finished_job_as_before_when_it_is_cancelled() {
    // given
    DispatcherSimulation simulation = completed();
    // when
    simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
    simulation.run(1_000);
    // then
    assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.COMPLETED);
  }

  @Test
  public void should_remove_finished_jobs_from_the_store_once() {
    // given
    DispatcherSimulation simulation = completed();
    // when
    var removed = simulation.dispatcher.retireJobs(simulation.nowMs + 1, 10);
    simulation.dispatcher.jobsRemoved(removed, simulation.nowMs);
    // then
    assertThat(removed).containsExactly(ID);
    assertThat(simulation.dispatcher.retireJobs(simulation.nowMs + 1, 10)).isEmpty();
    assertThat(simulation.dispatcher.visibleStatus(ID)).isEmpty();
  }

  @Test
  public void should_keep_a_cancelled_job_until_its_runs_are_stopped() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    SimulatedWorker worker = simulation.workers.get(0);
    worker.stopsLate = true;
    simulation.submit(job(ID, "urgent", serving(1, 8_000, ""))).run(500);
    // when
    simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
    simulation.submit(job("00000000000000bb", "urgent", tasks(1, 8_000))).run(2_000);
    // then: its room is not given away
    assertThat(worker.running).containsOnlyKeys(FIRST);
    worker.end(FIRST, RunOutcome.STOPPED);
    simulation.run(3_000);
    assertThat(simulation.status("00000000000000bb")).isEqualTo(JobStatus.COMPLETED);
  }

  @Test
  public void should_know_a_job_that_had_finished_before_a_change_of_owner() {
    // given
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100).startOwner(2);
    JobProgress progress =
        new JobProgress(JobStatus.FAILED, Map.of(), Map.of(), Map.of(), Optional.empty());
    // when
    simulation.dispatcher.restoreJob(job, progress, 1, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    simulation.submit(job).run(3_000);
    // then
    assertThat(simulation.startCount(FIRST)).isZero();
    assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.FAILED);
  }
}
