package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests that lasting tasks which have run get room before tasks that have not. */
public class LastingTasksRunAgainTest {
  private static final int CORES = 8;
  private static final String RAN = "00000000000000aa";
  private static final String NEVER_RAN = "00000000000000bb";

  /** Each of its tasks takes a whole worker. */
  private static final JobSpec RAN_JOB = job(RAN, "fill", serving(2, CORES * 1_000, ""));

  private static final JobSpec NEVER_RAN_JOB =
      job(NEVER_RAN, "urgent", serving(2, CORES * 1_000, ""));

  /** Time after which the platform counts a task as lost that has room. */
  private static final long TOLERATED_MS = 6_000 + 3_000;

  private static TaskKey task(String jobId, int index) {
    return new TaskKey(jobId, 0, 0, index);
  }

  /** Two workers run one lasting job; another one waits, which is older and more urgent. */
  private static DispatcherSimulation twoWorkersAreTaken() {
    DispatcherSimulation simulation = new DispatcherSimulation(2, CORES).run(100);
    simulation.submit(RAN_JOB).run(500);
    simulation.submit(NEVER_RAN_JOB).run(500);
    assertThat(simulation.runningCount()).isEqualTo(2);
    return simulation;
  }

  private static void takeOver(DispatcherSimulation simulation, JobProgress ran) {
    simulation.startOwner(2);
    simulation.dispatcher.restoreJob(RAN_JOB, ran, 0, simulation.nowMs);
    simulation.dispatcher.restoreJob(NEVER_RAN_JOB, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
  }

  @Test
  public void should_start_a_task_that_has_run_before_short_tasks() {
    // given: short tasks of a more urgent queue wait for room, and can be on time
    DispatcherSimulation simulation = new DispatcherSimulation(1, CORES).run(100);
    TaskKey lasting = task(RAN, 0);
    simulation.submit(job(RAN, "fill", serving(1, CORES * 1_000, ""))).run(500);
    simulation.taskDurationMs = 2 * TOLERATED_MS;
    for (int i = 0; i < CORES; i++) {
      JobSpec job = job("short-" + i, "urgent", tasks(1, 1_000));
      simulation.submit(
          new JobSpec(
              job.id(),
              job.queue(),
              job.payload(),
              job.phases(),
              simulation.nowMs + TOLERATED_MS,
              0,
              0,
              0));
    }
    // when
    simulation.workers.get(0).restart(simulation.nowMs);
    simulation.dispatcher.workerRegistered(
        simulation.workers.get(0).registration, simulation.nowMs);
    simulation.run(TOLERATED_MS);
    // then
    assertThat(simulation.startCount(lasting)).isEqualTo(2);
    assertThat(simulation.runningCopies(lasting)).isEqualTo(1);
  }

  /** Regression (LOST): tasks whose worker and owner were lost waited behind those in the queue. */
  @Test
  public void should_start_tasks_that_have_run_first_after_a_change_of_owner() {
    // given
    DispatcherSimulation simulation = twoWorkersAreTaken();
    JobProgress stored = simulation.persistedProgress.get(RAN);
    // when: all that knew of the runs is lost; one worker comes back empty
    simulation.workers.forEach(worker -> worker.unreachable = true);
    simulation.workers.get(0).restart(simulation.nowMs);
    takeOver(simulation, stored);
    simulation.run(20_000);
    // then
    assertThat(simulation.workers.get(0).running).hasSize(1);
    assertThat(simulation.workers.get(0).running.keySet()).allMatch(t -> t.jobId().equals(RAN));
  }

  /** Releases that did not store which tasks have run leave the order as it was. */
  @Test
  public void should_keep_the_order_of_queues_after_a_release_that_did_not_store_which_have_run() {
    // given
    DispatcherSimulation simulation = twoWorkersAreTaken();
    // when
    simulation.workers.forEach(worker -> worker.unreachable = true);
    simulation.workers.get(0).restart(simulation.nowMs);
    takeOver(simulation, JobProgress.NONE);
    simulation.run(20_000);
    // then
    assertThat(simulation.workers.get(0).running.keySet())
        .hasSize(1)
        .allMatch(t -> t.jobId().equals(NEVER_RAN));
  }

  @Test
  public void should_store_that_tasks_have_run_when_a_previous_owner_has_started_them() {
    // given
    DispatcherSimulation simulation = twoWorkersAreTaken();
    simulation.persistedProgress.clear();
    // when
    takeOver(simulation, JobProgress.NONE);
    simulation.run(2_000);
    // then
    assertThat(simulation.persistedProgress.get(RAN).begun()).isPresent();
    assertThat(simulation.persistedProgress).doesNotContainKey(NEVER_RAN);
  }

  /** The store takes some hundred writes a second. */
  @Test
  public void should_write_once_that_the_tasks_of_a_job_have_run() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(4, CORES).run(100);
    simulation.persisting = false;
    simulation.submit(job(RAN, "urgent", serving(20, 1_000, ""))).run(100);
    // when
    ProgressBatch batch = simulation.dispatcher.unpersistedProgress().orElseThrow();
    simulation.dispatcher.progressPersisted(batch, 1);
    simulation.run(5_000);
    // then
    assertThat(batch.entries()).hasSize(1);
    assertThat(simulation.dispatcher.unpersistedProgress()).isEmpty();
    assertThat(batch.entries().get(0).progress().begun()).isPresent();
  }

  @Test
  public void should_not_count_a_refused_start_as_a_run() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, CORES).run(100);
    simulation.workers.get(0).startReply = CommandReply.NO_ROOM;
    // when
    simulation.submit(RAN_JOB).run(1_000);
    // then
    assertThat(simulation.commands).anyMatch(DispatchCommand.Start.class::isInstance);
    assertThat(simulation.persistedProgress).doesNotContainKey(RAN);
  }
}
