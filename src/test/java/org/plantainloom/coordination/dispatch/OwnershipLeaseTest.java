package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests for how long an owner acts without a confirmation by the store, and what it does then. */
public class OwnershipLeaseTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);
  private static final long NOW_MS = 50_000;
  private static final long WALL_MS = 1_700_000_000_000L;

  /** The bounds, which docs/design/0007 works out from the key's time to live. */
  public static class Bounds {
    private static OwnershipLease confirmed() {
      OwnershipLease ownership = new OwnershipLease();
      ownership.confirm(NOW_MS, WALL_MS);
      return ownership;
    }

    @Test
    public void should_not_be_valid_before_the_first_confirmation() {
      assertThat(new OwnershipLease().isValid(0, 0)).isFalse();
    }

    @Test
    public void should_end_before_the_key_expires_on_any_clock() {
      // given: this process's clock runs slow, the store's does not
      long keyExpiryMs = ClockDrift.shortestMs(OwnershipLease.KEY_TTL_MS);
      // then
      assertThat(confirmed().isValid(NOW_MS + keyExpiryMs, WALL_MS + keyExpiryMs)).isFalse();
    }

    @Test
    public void should_outlast_three_failed_confirmations() {
      long ageMs = 3 * OwnershipLease.CONFIRM_INTERVAL_MS;
      assertThat(confirmed().isValid(NOW_MS + ageMs, WALL_MS + ageMs)).isTrue();
    }

    @Test
    public void should_end_although_the_monotonic_clock_stood_still_while_the_vm_was_suspended() {
      assertThat(confirmed().isValid(NOW_MS + 10, WALL_MS + OwnershipLease.KEY_TTL_MS)).isFalse();
    }

    @Test
    public void should_end_although_the_wall_clock_was_set_back() {
      assertThat(confirmed().isValid(NOW_MS + OwnershipLease.KEY_TTL_MS, WALL_MS - 60_000))
          .isFalse();
    }

    @Test
    public void should_not_be_shortened_by_the_late_reply_to_an_earlier_renewal() {
      // given
      OwnershipLease ownership = confirmed();
      // when
      ownership.confirm(NOW_MS - 900, WALL_MS - 900);
      // then
      assertThat(ownership.confirmedMs()).isEqualTo(NOW_MS);
    }

    @Test
    public void should_make_a_successor_wait_for_what_an_owner_did_last_and_for_the_lease() {
      // given
      long leaseMs = DispatcherSimulation.MAX_LEASE_MS;
      Dispatcher successor =
          new Dispatcher(
              2,
              DispatchPolicy.of(leaseMs, DispatcherSimulation.STOP_GRACE_MS),
              confirmed(),
              (event, subject, detail) -> {},
              NOW_MS);
      successor.previousOwnersKnown();
      // when: the owner and the worker with a slow clock, the successor with a fast one
      long lastRenewalMs = (long) (OwnershipLease.ACTING_MS / 0.98);
      long leaseEndMs = (long) ((lastRenewalMs + leaseMs / 0.98) * 1.02);
      // then
      assertThat(successor.areInheritedLeasesOver(NOW_MS + leaseEndMs)).isFalse();
      // and if the last confirmation is known to be earlier than the takeover
      OwnerClocks clocks = new OwnerClocks();
      OwnerTime last = new OwnerTime(1, 70_000, WALL_MS);
      clocks.sampled(last, NOW_MS - 5_000);
      successor.previousOwnerConfirmed(new LastConfirmation(last, Optional.empty(), clocks));
      assertThat(successor.areInheritedLeasesOver(NOW_MS - 5_000 + leaseEndMs)).isFalse();
      assertThat(successor.areInheritedLeasesOver(NOW_MS + leaseEndMs)).isTrue();
    }
  }

  /** An owner that the store does not confirm while workers still answer it. */
  public static class OwnerCutOff {
    private static final long OUTAGE_MS = 6_500;

    private static DispatcherSimulation running(JobSpec job) {
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 60_000;
      return simulation.submit(job).run(500);
    }

    private static SimulatedWorker holder(DispatcherSimulation simulation) {
      return simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 1 : 0);
    }

    /** Regression (review/1): tasks ran twice, as the owner on the other side renewed the lease. */
    @Test
    public void should_not_start_tasks_of_an_unreachable_worker_again() {
      // given
      DispatcherSimulation simulation = running(job(ID, "urgent", tasks(1, 1_000)));
      // when: the owner reaches neither the store nor the worker
      simulation.storeReachable = false;
      holder(simulation).unreachable = true;
      simulation.run(12_000);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_start_them_again_once_the_store_has_confirmed_the_ownership() {
      // given
      DispatcherSimulation simulation = running(job(ID, "urgent", tasks(1, 1_000)));
      simulation.storeReachable = false;
      holder(simulation).unreachable = true;
      simulation.run(12_000);
      // when
      simulation.storeReachable = true;
      simulation.run(200);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(2);
    }

    @Test
    public void should_not_take_the_end_of_a_lease_for_a_loss_within_the_time_to_act() {
      // given: the lease ends right after the last confirmation; the key was removed early
      DispatcherSimulation simulation = running(job(ID, "urgent", tasks(1, 1_000)));
      holder(simulation).unreachable = true;
      simulation.run(5_500);
      // when
      simulation.storeReachable = false;
      simulation.run(OwnershipLease.ACTING_MS);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_start_no_new_task_and_renew_no_lease_after_its_time_to_act() {
      // given
      DispatcherSimulation simulation = running(job(ID, "urgent", tasks(1, 1_000)));
      simulation.storeReachable = false;
      simulation.run(OwnershipLease.ACTING_MS);
      simulation.commands.clear();
      // when
      simulation.submit(job("00000000000000bb", "urgent", tasks(1, 1_000))).run(3_000);
      // then: workers are still asked what they run
      assertThat(simulation.commands)
          .isNotEmpty()
          .allSatisfy(
              command -> {
                assertThat(command).isInstanceOf(DispatchCommand.Poll.class);
                assertThat(((DispatchCommand.Poll) command).leaseUntilMs()).isEmpty();
              });
      assertThat(simulation.log)
          .anyMatch(line -> line.contains("ownership-unconfirmed term-1 ageMs="));
    }

    @Test
    public void should_keep_tasks_running_through_an_outage_of_the_store() {
      // given
      DispatcherSimulation simulation =
          running(job(ID, "urgent", serving(4, 1_000, ""), tasks(4, 500)));
      // when
      simulation.storeReachable = false;
      simulation.run(OUTAGE_MS);
      simulation.storeReachable = true;
      simulation.run(2_000);
      // then
      for (SimulatedWorker worker : simulation.workers) {
        assertThat(worker.starts.values()).allMatch(count -> count == 1);
      }
      assertThat(simulation.runningCount()).isEqualTo(8);
    }
  }

  /** The owner's zone is cut off, and another node has become the owner. */
  public static class OwnerReplaced {
    @Test
    public void should_keep_the_tasks_on_the_reachable_side_running() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(4, 8).run(100);
      simulation.taskDurationMs = 60_000;
      JobSpec job = job(ID, "urgent", serving(8, 1_000, ""));
      simulation.submit(job).run(500);
      List<SimulatedWorker> cutOff = simulation.workers.subList(0, 2);
      cutOff.forEach(worker -> worker.unreachable = true);
      // when
      simulation.runWithoutOwner(OwnershipLease.KEY_TTL_MS + 500).startOwner(2);
      simulation.dispatcher.restoreJob(job, JobProgress.NONE, 0, simulation.nowMs);
      simulation.dispatcher.jobsRestored();
      simulation.run(4_000);
      // then
      for (SimulatedWorker worker : simulation.workers.subList(2, 4)) {
        assertThat(worker.running).isNotEmpty();
        assertThat(worker.starts.values()).allMatch(count -> count == 1);
      }
    }
  }
}
