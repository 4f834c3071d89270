package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;

import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests how long a lasting task is down after its worker, or its worker and the owner, are lost.
 */
public class LastingTaskDowntimeTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey TASK = new TaskKey(ID, 0, 0, 0);
  private static final JobSpec JOB = job(ID, "urgent", serving(1, 1_000, ""));

  /** The platform tolerates a lasting task without a run for 6 s, and then for 3 s beside room. */
  private static final long TOLERATED_DOWNTIME_MS = 9_000;

  /** The platform tolerates it for 7 s after the last disturbance. */
  private static final long TOLERATED_AFTER_DISTURBANCE_MS = 7_000;

  private static final long LONG_LEASE_MS = 10_000;

  /** Time that a worker may run a task on after the last confirmation of its owner. */
  private static final long SHORTEST_WAIT_MS = DispatcherSimulation.MAX_LEASE_MS + 1_000;

  /** Time that a new owner takes from its takeover to a start that nothing holds back. */
  private static final long ROUNDS_MS = 700;

  /** Time until a killed process runs again. */
  private static final long RESTART_MS = 1_600;

  /** Time until the key of a killed owner is gone and another node owns the workers. */
  private static final long CHANGE_OF_OWNER_MS = 3_500;

  private static DispatcherSimulation simulation(long maxLeaseMs) {
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8, maxLeaseMs).run(100);
    return simulation.submit(JOB).run(2_000);
  }

  private static void loseHolder(DispatcherSimulation simulation) {
    SimulatedWorker holder =
        simulation.workers.stream().filter(w -> !w.running.isEmpty()).findFirst().orElseThrow();
    holder.unreachable = true;
    holder.running.clear();
  }

  private static void replaceKilledOwner(DispatcherSimulation simulation, long term) {
    simulation.runWithoutOwner(RESTART_MS).previousOwnerIsRestarted();
    simulation.runWithoutOwner(CHANGE_OF_OWNER_MS - RESTART_MS);
    startOwner(simulation, term);
  }

  private static void startOwner(DispatcherSimulation simulation, long term) {
    simulation.startOwner(term);
    simulation.dispatcher.restoreJob(JOB, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
  }

  @Test
  public void should_restart_a_lasting_task_in_time_where_the_platform_allows_longer_leases() {
    // given
    DispatcherSimulation simulation = simulation(LONG_LEASE_MS);
    // when
    loseHolder(simulation);
    simulation.run(TOLERATED_DOWNTIME_MS);
    // then
    assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
  }

  @Test
  public void should_restart_a_lasting_task_in_time_when_its_worker_and_the_owner_are_lost() {
    // given
    DispatcherSimulation simulation = simulation(DispatcherSimulation.MAX_LEASE_MS);
    // when
    loseHolder(simulation);
    replaceKilledOwner(simulation, 2);
    simulation.run(RESTART_MS + TOLERATED_AFTER_DISTURBANCE_MS - CHANGE_OF_OWNER_MS);
    // then
    assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
  }

  @Test
  public void should_not_wait_for_a_lost_worker_from_the_start_again_after_each_change_of_owner() {
    // given
    DispatcherSimulation simulation = simulation(DispatcherSimulation.MAX_LEASE_MS);
    loseHolder(simulation);
    replaceKilledOwner(simulation, 2);
    simulation.run(1_000);
    // when
    replaceKilledOwner(simulation, 3);
    simulation.run(RESTART_MS + TOLERATED_AFTER_DISTURBANCE_MS - CHANGE_OF_OWNER_MS);
    // then
    assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
  }

  /** Regression (LOST): each owner began the wait for the lease of a silent worker anew. */
  @Test
  public void should_not_wait_for_a_silent_worker_anew_when_the_owner_in_between_is_gone() {
    // given: the first owner stored that the worker is silent, and its process runs on
    DispatcherSimulation simulation = simulation(DispatcherSimulation.MAX_LEASE_MS);
    loseHolder(simulation);
    simulation.run(500);
    simulation.runWithoutOwner(CHANGE_OF_OWNER_MS).previousOwnerIsRestarted();
    startOwner(simulation, 2);
    simulation.run(2_000);
    // when: the second owner, which never reached that worker, is gone for good
    simulation.previousOwnerNeverAnswers().runWithoutOwner(CHANGE_OF_OWNER_MS);
    startOwner(simulation, 3);
    // then: the lease has ended before, 9.5 s after the loss
    simulation.run(500);
    assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
  }

  /** Regression (LOST): the wait was counted from the takeover, not from the last confirmation. */
  @Test
  public void should_restart_a_lasting_task_in_time_when_the_owner_never_answers() {
    // given
    DispatcherSimulation simulation = simulation(DispatcherSimulation.MAX_LEASE_MS);
    // when: the machines of its worker and of the owner are gone for good
    loseHolder(simulation);
    simulation.runWithoutOwner(CHANGE_OF_OWNER_MS);
    startOwner(simulation, 2);
    simulation.run(TOLERATED_DOWNTIME_MS - CHANGE_OF_OWNER_MS);
    // then
    assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
  }

  /** Nothing tells how long ago the former owner was confirmed: neither samples nor workers. */
  @Test
  public void should_wait_from_the_takeover_where_the_last_confirmation_cannot_be_dated() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8);
    simulation.samplingConfirmations = false;
    simulation.namingWorkerClocks = false;
    simulation.run(100).submit(JOB).run(2_000);
    // when
    loseHolder(simulation);
    simulation.runWithoutOwner(CHANGE_OF_OWNER_MS);
    startOwner(simulation, 2);
    simulation.run(SHORTEST_WAIT_MS - 100);
    // then
    assertThat(simulation.runningCopies(TASK)).isZero();
    assertThat(simulation.log).anyMatch(line -> line.contains("evidence=REPLACED"));
  }

  /**
   * Changes of the owner whose successors have not lived long, or whose owners act only shortly.
   */
  public static class SuccessorsWithoutSamples {
    private static DispatcherSimulation withoutSamples(int workers) {
      DispatcherSimulation simulation = new DispatcherSimulation(workers, 8);
      simulation.samplingConfirmations = false;
      simulation.silenceSlackMs = DispatcherSimulation.POLL_SLACK_MS;
      return simulation.run(100).submit(JOB).run(2_000);
    }

    /** Regression (LOST): a successor that had just started counted from its own first sample. */
    @Test
    public void should_restart_a_lasting_task_in_time_when_the_next_owner_has_just_started() {
      // given
      DispatcherSimulation simulation = withoutSamples(2);
      // when: the machines of its worker and of the owner are gone for good
      loseHolder(simulation);
      simulation.runWithoutOwner(CHANGE_OF_OWNER_MS);
      startOwner(simulation, 2);
      simulation.run(TOLERATED_DOWNTIME_MS - CHANGE_OF_OWNER_MS);
      // then
      assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
      assertThat(simulation.log).anyMatch(line -> line.contains("evidence=LAST_CONFIRMATION"));
    }

    @DataProvider
    public static Object[][] timesBetweenTheLosses() {
      return new Object[][] {{0}, {200}, {400}, {600}, {800}, {1_000}, {1_200}, {1_500}, {2_500}};
    }

    /** Regression (LOST): the owner was lost after the worker, but before it had stored that. */
    @Test(dataProvider = "timesBetweenTheLosses")
    public void should_restart_a_lasting_task_in_time_when_the_owner_is_lost_after_its_worker(
        int betweenMs) {
      // given
      DispatcherSimulation simulation = withoutSamples(2);
      // when
      loseHolder(simulation);
      simulation.run(betweenMs).runWithoutOwner(CHANGE_OF_OWNER_MS);
      startOwner(simulation, 2);
      long toleratedMs =
          Math.max(TOLERATED_DOWNTIME_MS, betweenMs + TOLERATED_AFTER_DISTURBANCE_MS);
      simulation.run(toleratedMs - betweenMs - CHANGE_OF_OWNER_MS);
      // then
      assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
    }

    @DataProvider
    public static Object[][] timesOfOwnership() {
      return new Object[][] {{0}, {50}, {150}, {350}, {600}, {1_500}};
    }

    /** Regression (LOST): an owner that was lost right after its claim restarted the wait. */
    @Test(dataProvider = "timesOfOwnership")
    public void should_not_wait_anew_when_the_next_owner_is_lost_soon(int ownedMs) {
      // given
      DispatcherSimulation simulation = withoutSamples(3);
      loseHolder(simulation);
      simulation.runWithoutOwner(CHANGE_OF_OWNER_MS);
      // when
      startOwner(simulation, 2);
      simulation.run(ownedMs).runWithoutOwner(CHANGE_OF_OWNER_MS);
      startOwner(simulation, 3);
      // then: the first owner's leases are over meanwhile, or soon
      long sinceLossMs = 2 * CHANGE_OF_OWNER_MS + ownedMs;
      simulation.run(Math.max(ROUNDS_MS, TOLERATED_DOWNTIME_MS - sinceLossMs));
      assertThat(simulation.runningCopies(TASK)).isEqualTo(1);
    }
  }
}
