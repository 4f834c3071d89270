package org.plantainloom.coordination.rack;

/**
 * Durations that govern task leases on one rack.
 *
 * @param leaseMs duration of a task lease
 * @param startValidityMs how long a start command stays valid, counted from the read of the zones
 * @param horizonMs how far ahead of the current time the renewal horizon is set; until then the
 *     owner may renew leases without the store
 * @param horizonSlackMs the horizon is extended once it is nearer than {@code horizonMs} minus this
 * @param clockSkewMs maximum difference between the clocks of two machines
 * @param unreachableAfterMs time without a report after which a worker's leases are no longer
 *     renewed
 * @param checkpointIntervalMs interval at which checkpoints are persisted
 * @param confirmIntervalMs time after which an owner re-reads its record if the store has not
 *     confirmed it
 */
public record LeasePolicy(
    long leaseMs,
    long startValidityMs,
    long horizonMs,
    long horizonSlackMs,
    long clockSkewMs,
    long unreachableAfterMs,
    long checkpointIntervalMs,
    long confirmIntervalMs) {
  private static final long LEASE_MS = 10_000;
  // No task may start later than 2 s after its availability zone is taken out of service; 200 ms of
  // that cover clock skew.
  private static final long START_VALIDITY_MS = 1_800;
  // Survives a store outage of one hour, with a margin of 15 minutes.
  private static final long HORIZON_MS = 4_500_000;
  private static final long HORIZON_SLACK_MS = 60_000;
  private static final long CLOCK_SKEW_MS = 200;
  private static final long UNREACHABLE_AFTER_MS = 5_000;
  private static final long CHECKPOINT_INTERVAL_MS = 5_000;
  private static final long CONFIRM_INTERVAL_MS = 5_000;

  /** Returns the default durations. */
  public static LeasePolicy standard() {
    return new LeasePolicy(
        LEASE_MS,
        START_VALIDITY_MS,
        HORIZON_MS,
        HORIZON_SLACK_MS,
        CLOCK_SKEW_MS,
        UNREACHABLE_AFTER_MS,
        CHECKPOINT_INTERVAL_MS,
        CONFIRM_INTERVAL_MS);
  }
}
