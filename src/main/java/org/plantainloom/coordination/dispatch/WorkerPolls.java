package org.plantainloom.coordination.dispatch;

import java.util.Optional;

/**
 * Decides when a worker is polled, for how long the poll waits, and whether it renews the lease.
 */
final class WorkerPolls {
  private final DispatchPolicy policy;

  WorkerPolls(DispatchPolicy policy) {
    this.policy = policy;
  }

  /** Returns the next poll of a worker if it is due. */
  Optional<DispatchCommand.Poll> pollIfDue(WorkerState worker, long nowMs) {
    worker.advanceAcknowledgement();
    boolean unpersistedEnds = worker.lastEndSeen > worker.acknowledgedEnd;
    if (worker.pollInFlight
        || (nowMs < worker.nextPollMs && (unpersistedEnds || worker.unreachable))) {
      return Optional.empty();
    }
    worker.pollInFlight = true;
    // A worker that does not answer, or has not answered yet, gets no renewal: runs that this owner
    // does not know of would go on for another lease.
    if (worker.confirmed && !worker.unreachable) {
      long waitMs = unpersistedEnds ? 0 : waitMs(worker);
      return Optional.of(renewal(worker, worker.clockAt(nowMs), waitMs, nowMs));
    }
    return Optional.of(
        new DispatchCommand.Poll(worker.registration, Optional.empty(), worker.acknowledgedEnd, 0));
  }

  /** Returns a poll that renews the lease of a worker that has just told its clock. */
  DispatchCommand.Poll renewal(WorkerState worker, long workerClockMs, long nowMs) {
    return renewal(worker, workerClockMs, 0, nowMs);
  }

  private DispatchCommand.Poll renewal(
      WorkerState worker, long workerClockMs, long waitMs, long nowMs) {
    worker.leaseExtended(nowMs, policy);
    return new DispatchCommand.Poll(
        worker.registration,
        Optional.of(workerClockMs + policy.leaseMs()),
        worker.acknowledgedEnd,
        waitMs);
  }

  private long waitMs(WorkerState worker) {
    if (TailLatencyController.appliesTo(worker)) {
      return policy.throttlingPollWaitMs();
    }
    return worker.runs.isEmpty() ? policy.idlePollWaitMs() : policy.busyPollWaitMs();
  }
}
