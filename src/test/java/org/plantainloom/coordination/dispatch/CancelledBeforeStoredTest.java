package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests cancellations of jobs that are not stored, or not stored yet. */
public class CancelledBeforeStoredTest {
  private static final String ID = "00000000000000aa";
  private static final JobSpec JOB = job(ID, "urgent", tasks(1, 1_000));
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);
  private static final long RETENTION_MS = 150_000;

  private static DispatcherSimulation cancelledUnknown() {
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
    return simulation;
  }

  /** Regression (UNASKED): the cancellation was forgotten, and the job ran once it was stored. */
  @Test
  public void should_not_run_a_job_whose_cancellation_was_known_first() {
    // given
    DispatcherSimulation simulation = cancelledUnknown();
    // when
    simulation.submit(JOB).run(1_000);
    // then
    assertThat(simulation.startCount(FIRST)).isZero();
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.CANCELLED);
  }

  @Test
  public void should_store_no_progress_of_a_job_that_is_not_stored() {
    // given
    DispatcherSimulation simulation = cancelledUnknown();
    // then
    assertThat(simulation.dispatcher.unpersistedProgress()).isEmpty();
    assertThat(simulation.dispatcher.visibleStatus(ID)).isEmpty();
    assertThat(simulation.dispatcher.openJobCount()).isZero();
  }

  @Test
  public void should_remove_the_cancellation_after_the_retention_only() {
    // given
    DispatcherSimulation simulation = cancelledUnknown();
    long cancelledMs = simulation.nowMs;
    // then
    assertThat(simulation.dispatcher.retireJobs(cancelledMs, 10)).isEmpty();
    assertThat(simulation.dispatcher.retireJobs(cancelledMs + 1, 10)).containsExactly(ID);
  }

  @Test
  public void should_remove_it_again_until_the_store_has_confirmed_that() {
    // given
    DispatcherSimulation simulation = cancelledUnknown();
    Dispatcher dispatcher = simulation.dispatcher;
    dispatcher.retireJobs(simulation.nowMs + 1, 10);
    // when
    assertThat(dispatcher.retireJobs(simulation.nowMs - RETENTION_MS, 10)).containsExactly(ID);
    dispatcher.jobsRemoved(List.of(ID), simulation.nowMs);
    // then
    assertThat(dispatcher.retireJobs(simulation.nowMs - RETENTION_MS, 10)).isEmpty();
  }

  @Test
  public void should_not_run_a_job_that_appears_while_its_cancellation_is_removed() {
    // given
    DispatcherSimulation simulation = cancelledUnknown();
    simulation.dispatcher.retireJobs(simulation.nowMs + 1, 10);
    // when
    simulation.submit(JOB).run(1_000);
    // then
    assertThat(simulation.startCount(FIRST)).isZero();
  }

  @Test
  public void should_not_take_the_listed_cancellation_of_a_removed_job_for_a_new_one() {
    // given
    DispatcherSimulation simulation = cancelledUnknown();
    simulation.dispatcher.retireJobs(simulation.nowMs + 1, 10);
    simulation.dispatcher.jobsRemoved(List.of(ID), simulation.nowMs);
    // when: the keys were listed before their removal
    simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
    // then
    assertThat(simulation.dispatcher.retireJobs(simulation.nowMs + 1, 10)).isEmpty();
  }
}
