package org.plantainloom.coordination.rack;

import java.util.Optional;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.Release;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.VmListing;

/**
 * Decides when an incarnation can be released: never while it might still be running.
 *
 * <p>One of three conditions must hold: the worker reports that the incarnation ended; the VM it
 * was committed on is gone; or its lease has expired according to the clocks of all machines.
 */
final class ReleaseRule {
  private final LeasePolicy policy;
  private final LeaseTracker leases;

  ReleaseRule(LeasePolicy policy, LeaseTracker leases) {
    this.policy = policy;
    this.leases = leases;
  }

  Optional<Release> releaseOf(
      Commitment commitment, ObservedWorker observed, VmListing listing, long nowMs) {
    Optional<TaskReport> report = observed.taskReport(commitment);
    Optional<ReleaseOutcome> reportedOutcome = report.flatMap(r -> r.state().outcome());
    if (reportedOutcome.isPresent()) {
      long checkpoint = Math.max(commitment.checkpoint(), report.orElseThrow().checkpoint());
      return Optional.of(release(commitment, reportedOutcome.get(), checkpoint));
    }
    boolean isLost =
        isVmReplaced(commitment, observed, listing)
            || isVmGone(observed, nowMs)
            || isLeaseExpired(commitment, observed, nowMs);
    return isLost
        ? Optional.of(release(commitment, ReleaseOutcome.LOST, commitment.checkpoint()))
        : Optional.empty();
  }

  private static Release release(Commitment commitment, ReleaseOutcome outcome, long checkpoint) {
    return new Release(commitment.ref(), commitment.worker(), outcome, checkpoint);
  }

  private static boolean isVmReplaced(
      Commitment commitment, ObservedWorker observed, VmListing listing) {
    long listedGeneration = listing.worker(commitment.worker()).map(w -> w.generation()).orElse(0L);
    return Math.max(listedGeneration, observed.generation()) > commitment.generation();
  }

  // The listing may be wrong, so a missing VM counts as gone only after it has also been silent for
  // longer than a lease.
  private boolean isVmGone(ObservedWorker observed, long nowMs) {
    long limitMs = policy.leaseMs() + policy.clockSkewMs();
    return observed.isMissing(nowMs, limitMs) && observed.isSilent(nowMs, limitMs);
  }

  private boolean isLeaseExpired(Commitment commitment, ObservedWorker observed, long nowMs) {
    return observed.isSilent(nowMs, policy.unreachableAfterMs())
        && nowMs > leases.mayRunUntilMs(commitment, observed) + policy.clockSkewMs();
  }
}
