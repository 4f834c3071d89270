package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Decides when a worker is polled, for how long the poll waits, and whether it renews the lease.
 */
final class WorkerPolls {
  /**
   * How long before this process may not act any more the leases of busy workers are renewed once
   * more; longer than a call to another region takes.
   */
  private static final long LAST_RENEWAL_MS = 200;

  /**
   * Wait of a poll at a worker with lasting tasks. Its loss is noticed when the poll returns, and
   * if the owner is lost before that is stored, the next one waits longer.
   */
  private static final long LASTING_WAIT_MS = 400;

  private final DispatchPolicy policy;
  private final OwnershipLease ownership;
  private final ElapsedTime elapsed;

  /** Whether this process could act as the owner in the last round, and for how long. */
  private boolean acting;

  private boolean ending;

  WorkerPolls(DispatchPolicy policy, OwnershipLease ownership, ElapsedTime elapsed) {
    this.policy = policy;
    this.ownership = ownership;
    this.elapsed = elapsed;
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
    worker.pollSentElapsedMs = elapsed.ms();
    // A worker that does not answer, or has not answered yet, gets no renewal: runs that this owner
    // does not know of would go on for another lease. Neither does one that may have started again,
    // as its clock is not known then.
    if (worker.isLifeCertain() && !worker.unreachable) {
      boolean awaitsWrite = unpersistedEnds || worker.storedAsSilent;
      // A worker whose tail latency is controlled measures it from one poll to the next.
      boolean readsClock =
          !TailLatencyController.appliesTo(worker)
              && worker.life().latestClock().beginRefreshIfDue(elapsed.ms());
      long waitMs = awaitsWrite || readsClock ? 0 : waitMs(worker);
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
   * Returns renewals that are due for all workers although polls are under way: this process has
   * begun to act, or may not act any more soon.
   */
  List<DispatchCommand> renewalsIfDue(Collection<WorkerState> workers, long nowMs, long wallMs) {
    long remainingMs = ownership.remainingMs(nowMs, wallMs);
    boolean ends = remainingMs <= LAST_RENEWAL_MS;
    boolean due = remainingMs > 0 && (!acting || (ends && !ending));
    acting = remainingMs > 0;
    ending = ends;
    return due ? List.copyOf(renewals(workers, nowMs, wallMs)) : List.of();
  }

  /** Returns renewals for all workers whose leases this process may renew now. */
  List<DispatchCommand.Renewal> renewals(Collection<WorkerState> workers, long nowMs, long wallMs) {
    return workers.stream()
        .map(worker -> renewalIfOwner(worker, nowMs, wallMs))
        .flatMap(Optional::stream)
        .toList();
  }

  /**
   * Returns a renewal of the lease of a worker whose clock is known; empty if this process may not
   * act as the owner.
   */
  Optional<DispatchCommand.Renewal> renewalIfOwner(WorkerState worker, long nowMs, long wallMs) {
    if (worker.lastLife().filter(WorkerLife::isCertain).isEmpty()
        || worker.unreachable
        || !mayRenew(worker, nowMs, wallMs)) {
      return Optional.empty();
    }
    worker.leaseExtended(nowMs, policy.longestLeaseMs());
    long leaseUntilMs = worker.lastLife().get().clockAt(nowMs) + policy.leaseMs();
    return Optional.of(new DispatchCommand.Renewal(worker.registration, leaseUntilMs));
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

  private long waitMs(WorkerState worker) {
    if (TailLatencyController.appliesTo(worker)) {
      return policy.throttlingPollWaitMs();
    }
    if (worker.lastingCpuMillis() > 0) {
      return LASTING_WAIT_MS;
    }
    return worker.runs.isEmpty() ? policy.idlePollWaitMs() : policy.busyPollWaitMs();
  }
}
