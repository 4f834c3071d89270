package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no task runs again whose end does not fit into the list of a worker. */
public class EndBacklogTest {
  private static final String ID = "00000000000000aa";
  private static final int SMALL_BACKLOG = 700;

  /** Room for all tasks of the largest job at once. */
  private static final int CORES = 1_000;

  private static final int TASK_CPU_MILLIS = 20;

  /** Longer than it takes to start the largest job, and than a confirmed run may be missing. */
  private static final long OUTAGE_MS = 6_000;

  private static final long BEYOND_LEASES_MS = 12_000;
  private static final long END_MS = 60_000;

  @DataProvider
  public static Object[][] backlogs() {
    return new Object[][] {{SMALL_BACKLOG}, {5_000}, {20_000}};
  }

  private static JobSpec wideJob(int count) {
    return job(ID, "urgent", tasks(count, TASK_CPU_MILLIS));
  }

  /** Returns a simulation in which all tasks have ended at one worker, and none is stored. */
  private static DispatcherSimulation duringOutage(int count) {
    DispatcherSimulation simulation = new DispatcherSimulation(1, CORES).run(100);
    simulation.persisting = false;
    simulation.submit(wideJob(count)).run(OUTAGE_MS);
    assertThat(worker(simulation).ended).hasSize(count);
    return simulation;
  }

  private static SimulatedWorker worker(DispatcherSimulation simulation) {
    return simulation.workers.get(0);
  }

  private static DispatcherSimulation takeOver(
      DispatcherSimulation simulation, long term, int count) {
    JobProgress progress = simulation.persistedProgress.getOrDefault(ID, JobProgress.NONE);
    simulation.startOwner(term);
    simulation.dispatcher.restoreJob(wideJob(count), progress, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    return simulation;
  }

  private static int starts(DispatcherSimulation simulation) {
    return worker(simulation).starts.values().stream().mapToInt(Integer::intValue).sum();
  }

  private static void assertCompletes(DispatcherSimulation simulation, int count) {
    long endMs = simulation.nowMs + END_MS;
    while (simulation.status(ID) != JobStatus.COMPLETED && simulation.nowMs < endMs) {
      simulation.run(10);
    }
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    assertThat(starts(simulation)).isEqualTo(count);
    simulation.run(1_000);
    assertThat(worker(simulation).ended).isEmpty();
  }

  /** Regression (review/3): a run whose end did not fit into the list was taken for vanished. */
  @Test(dataProvider = "backlogs")
  public void should_not_start_a_task_again_whose_end_waits_beyond_the_list(int count) {
    // given
    DispatcherSimulation simulation = duringOutage(count);
    assertThat(starts(simulation)).isEqualTo(count);
    // when
    simulation.persisting = true;
    // then
    assertCompletes(simulation, count);
  }

  @Test(dataProvider = "backlogs")
  public void should_not_start_a_task_again_when_the_owner_changes_while_ends_wait(int count) {
    // given: the worker has been told to forget a part of its ends
    DispatcherSimulation simulation = duringOutage(count);
    simulation.persisting = true;
    while (worker(simulation).ended.size() > count - SimulatedWorker.MAX_LISTED_ENDS) {
      simulation.run(10);
    }
    assertThat(worker(simulation).ended).isNotEmpty();
    // when
    takeOver(simulation, 2, count);
    // then
    assertCompletes(simulation, count);
  }

  @Test
  public void should_wait_beyond_the_leases_of_previous_owners_while_ends_wait() {
    // given: the store is down for the next owner, too
    DispatcherSimulation simulation = duringOutage(SMALL_BACKLOG);
    takeOver(simulation, 2, SMALL_BACKLOG).run(BEYOND_LEASES_MS);
    assertThat(starts(simulation)).isEqualTo(SMALL_BACKLOG);
    // when
    simulation.persisting = true;
    // then
    assertCompletes(simulation, SMALL_BACKLOG);
  }

  @Test
  public void should_not_count_a_worker_as_known_to_the_next_owner_while_ends_wait() {
    // given: an owner has read a part of the ends when the worker falls silent
    DispatcherSimulation simulation = duringOutage(SMALL_BACKLOG);
    takeOver(simulation, 2, SMALL_BACKLOG).run(1_000);
    worker(simulation).unreachable = true;
    simulation.run(1_500);
    // when
    takeOver(simulation, 3, SMALL_BACKLOG).run(1_000);
    simulation.persisting = true;
    worker(simulation).unreachable = false;
    // then
    assertCompletes(simulation, SMALL_BACKLOG);
  }

  @Test
  public void should_hold_back_what_a_silent_worker_may_run_until_all_of_its_ends_are_listed() {
    // given: the list of workers names the tasks of the silent one
    DispatcherSimulation simulation = duringOutage(SMALL_BACKLOG);
    worker(simulation).unreachable = true;
    simulation.run(1_500);
    takeOver(simulation, 2, SMALL_BACKLOG);
    // when: it answers, and ends that it has listed cannot be stored
    worker(simulation).unreachable = false;
    simulation.run(3_000);
    // then
    assertThat(starts(simulation)).isEqualTo(SMALL_BACKLOG);
    simulation.persisting = true;
    assertCompletes(simulation, SMALL_BACKLOG);
  }

  @Test
  public void should_not_take_a_confirmed_stop_for_the_end_while_ends_wait() {
    // given: a run whose end waits beyond the list is stopped, and the worker confirms that
    DispatcherSimulation simulation = duringOutage(SMALL_BACKLOG);
    TaskKey last = new TaskKey(ID, 0, 0, SMALL_BACKLOG - 1);
    Run run = simulation.dispatcher.workers().iterator().next().runs.get(last);
    // when
    run.stop();
    simulation.run(2_000);
    simulation.persisting = true;
    // then
    assertCompletes(simulation, SMALL_BACKLOG);
  }
}
