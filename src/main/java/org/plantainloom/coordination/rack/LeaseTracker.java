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
 * Until when each incarnation may be running, whoever granted its lease.
 *
 * <p>Leases granted by this owner are known exactly. A former owner may have granted leases up to
 * the record's renewal horizon, until the worker refuses it.
 */
final class LeaseTracker {
  private final LeasePolicy policy;
  private final Map<TaskRef, Long> grantedUntilMs = new HashMap<>();
  private Set<TaskRef> inherited = Set.of();
  private long inheritedHorizonMs;

  LeaseTracker(LeasePolicy policy) {
    this.policy = policy;
  }

  /** Starts a new ownership, in which all commitments come from former owners. */
  void reset(RackRecord record) {
    grantedUntilMs.clear();
    inherited =
        record.commitments().stream().map(Commitment::ref).collect(Collectors.toUnmodifiableSet());
    inheritedHorizonMs = record.renewalHorizonMs();
  }

  void recordGrant(TaskRef ref, long untilMs) {
    grantedUntilMs.merge(ref, untilMs, Math::max);
  }

  void retainCommitted(RackRecord record) {
    grantedUntilMs.keySet().removeIf(ref -> record.commitment(ref).isEmpty());
  }

  /** Returns the time after which the incarnation cannot be running any more. */
  long mayRunUntilMs(Commitment commitment, ObservedWorker watch) {
    long own = grantedUntilMs.getOrDefault(commitment.ref(), 0L);
    if (!inherited.contains(commitment.ref())) {
      return own;
    }
    OptionalLong fencedAtMs = watch.fencedAtMs();
    long former =
        fencedAtMs.isPresent()
            ? Math.min(inheritedHorizonMs, fencedAtMs.getAsLong() + policy.leaseMs())
            : inheritedHorizonMs;
    return Math.max(own, former);
  }
}
