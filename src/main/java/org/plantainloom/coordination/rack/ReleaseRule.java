package org.plantainloom.coordination.rack;

import java.util.Optional;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.Release;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.VmListing;

/**
 * Decides when an incarnation can be released: never while it might run.
 *
 * <p>A release needs one of three grounds: the worker reports the end of the incarnation; the VM it
 * was committed for is gone; or its lease has ended by the clocks of all machines.
 */
final class ReleaseRule {
  private final LeasePolicy policy;
  private final LeaseLedger leases;

  ReleaseRule(LeasePolicy policy, LeaseLedger leases) {
    this.policy = policy;
    this.leases = leases;
  }

  Optional<Release> releaseOf(
      Commitment commitment, WorkerWatch watch, VmListing listing, long nowMs) {
    Optional<TaskReport> report = watch.task(commitment);
    Optional<ReleaseOutcome> reported = report.flatMap(r -> r.state().outcome());
    if (reported.isPresent()) {
      long checkpoint = Math.max(commitment.checkpoint(), report.orElseThrow().checkpoint());
      return Optional.of(release(commitment, reported.get(), checkpoint));
    }
    boolean lost =
        isReplaced(commitment, watch, listing)
            || isGone(watch, nowMs)
            || isLapsed(commitment, watch, nowMs);
    return lost
        ? Optional.of(release(commitment, ReleaseOutcome.LOST, commitment.checkpoint()))
        : Optional.empty();
  }

  private static Release release(Commitment commitment, ReleaseOutcome outcome, long checkpoint) {
    return new Release(commitment.ref(), commitment.worker(), outcome, checkpoint);
  }

  private static boolean isReplaced(Commitment commitment, WorkerWatch watch, VmListing listing) {
    long listed = listing.worker(commitment.worker()).map(w -> w.generation()).orElse(0L);
    return Math.max(listed, watch.generation()) > commitment.generation();
  }

  // The listing may be wrong, so a missing VM counts as gone only once it has also been silent for
  // longer than a lease.
  private boolean isGone(WorkerWatch watch, long nowMs) {
    long limitMs = policy.leaseMs() + policy.clockSkewMs();
    return watch.isMissing(nowMs, limitMs) && watch.isSilent(nowMs, limitMs);
  }

  private boolean isLapsed(Commitment commitment, WorkerWatch watch, long nowMs) {
    return watch.isSilent(nowMs, policy.unreachableAfterMs())
        && nowMs > leases.mayRunUntilMs(commitment, watch) + policy.clockSkewMs();
  }
}
