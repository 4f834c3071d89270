package org.plantainloom.coordination.rack;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.TaskRef;

/**
 * Tracks until when each incarnation may be running under leases of this and former owners.
 *
 * <p>Leases granted by this owner are known exactly. A former owner may have granted leases up to
 * the record's renewal horizon, until the worker began to reject its commands.
 */
final class LeaseTracker {
  private final LeasePolicy policy;
  private final Map<TaskRef, Long> grantedUntilMs = new HashMap<>();
  private Set<TaskRef> inheritedRefs = Set.of();
  private long inheritedHorizonMs;

  LeaseTracker(LeasePolicy policy) {
    this.policy = policy;
  }

  /** Starts a new ownership; all commitments in the record are inherited from former owners. */
  void reset(RackRecord record) {
    grantedUntilMs.clear();
    inheritedRefs =
        record.commitments().stream().map(Commitment::ref).collect(Collectors.toUnmodifiableSet());
    inheritedHorizonMs = record.renewalHorizonMs();
  }

  void recordGrant(TaskRef ref, long untilMs) {
    grantedUntilMs.merge(ref, untilMs, Math::max);
  }

  void retainCommitted(RackRecord record) {
    grantedUntilMs.keySet().removeIf(ref -> record.commitment(ref).isEmpty());
  }

  /** Returns the time after which the incarnation can no longer be running. */
  long mayRunUntilMs(Commitment commitment, ObservedWorker observed) {
    long ownUntilMs = grantedUntilMs.getOrDefault(commitment.ref(), 0L);
    if (!inheritedRefs.contains(commitment.ref())) {
      return ownUntilMs;
    }
    OptionalLong fencedAtMs = observed.fencedAtMs();
    long formerUntilMs =
        fencedAtMs.isPresent()
            ? Math.min(inheritedHorizonMs, fencedAtMs.getAsLong() + policy.leaseMs())
            : inheritedHorizonMs;
    return Math.max(ownUntilMs, formerUntilMs);
  }
}
