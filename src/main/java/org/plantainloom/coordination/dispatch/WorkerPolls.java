package org.plantainloom.coordination.dispatch;

import java.util.Optional;

/**
 * Decides when a worker is polled, for how long the poll waits, and whether it renews the lease.
 */
final class WorkerPolls {
  /**
   * How long before this process may not act any more a poll of a busy worker ends, so that the
   * next one renews the lease once more; longer than a call to another region takes.
   */
  private static final long LAST_RENEWAL_MS = 200;

  private final DispatchPolicy policy;
  private final OwnershipLease ownership;

  WorkerPolls(DispatchPolicy policy, OwnershipLease ownership) {
    this.policy = policy;
    this.ownership = ownership;
  }

  /** Returns the next poll of a worker if it is due. */
  Optional<DispatchCommand.Poll> pollIfDue(WorkerState worker, long nowMs, long wallMs) {
    worker.advanceAcknowledgement();
    boolean unpersistedEnds = worker.hasUnacknowledgedEnds();
    if (worker.pollInFlight
        || (nowMs < worker.nextPollMs
            && (unpersistedEnds || worker.unreachable || worker.storedAsSilent))) {
      return Optional.empty();
    }
    worker.pollInFlight = true;
    // A worker that does not answer, or has not answered yet, gets no renewal: runs that this owner
    // does not know of would go on for another lease. Neither does one that may have started again,
    // as its clock is not known then.
    if (worker.isLifeCertain() && !worker.unreachable) {
      boolean awaitsWrite = unpersistedEnds || worker.storedAsSilent;
      long waitMs = awaitsWrite ? 0 : waitMs(worker, ownership.remainingMs(nowMs, wallMs));
      return Optional.of(
          mayRenew(worker, nowMs, wallMs)
              ? renewal(worker, worker.life().clockAt(nowMs), waitMs, nowMs)
              : withoutRenewal(worker, waitMs));
    }
    return Optional.of(withoutRenewal(worker, 0));
  }

  private static DispatchCommand.Poll withoutRenewal(WorkerState worker, long waitMs) {
    return new DispatchCommand.Poll(
        worker.registration, Optional.empty(), worker.acknowledgement(), waitMs);
  }

  /**
   * Returns a poll that renews the lease of a worker that has just told its clock; empty if this
   * process may not act as the owner.
   */
  Optional<DispatchCommand.Poll> renewalIfOwner(
      WorkerState worker, long workerClockMs, long nowMs, long wallMs) {
    return mayRenew(worker, nowMs, wallMs)
        ? Optional.of(renewal(worker, workerClockMs, 0, nowMs))
        : Optional.empty();
  }

  /** The next owner relies on the end of a lease that the stored list names. */
  private boolean mayRenew(WorkerState worker, long nowMs, long wallMs) {
    return ownership.isValid(nowMs, wallMs) && !worker.storedAsSilent;
  }

  private DispatchCommand.Poll renewal(
      WorkerState worker, long workerClockMs, long waitMs, long nowMs) {
    worker.leaseExtended(nowMs, policy.longestLeaseMs());
    return new DispatchCommand.Poll(
        worker.registration,
        Optional.of(workerClockMs + policy.leaseMs()),
        worker.acknowledgement(),
        waitMs);
  }

  private long waitMs(WorkerState worker, long ownershipRemainingMs) {
    if (TailLatencyController.appliesTo(worker)) {
      return policy.throttlingPollWaitMs();
    }
    if (worker.runs.isEmpty()) {
      return policy.idlePollWaitMs();
    }
    long untilLastRenewalMs = ownershipRemainingMs - LAST_RENEWAL_MS;
    return untilLastRenewalMs > 0
        ? Math.min(policy.busyPollWaitMs(), untilLastRenewalMs)
        : policy.busyPollWaitMs();
  }
}
