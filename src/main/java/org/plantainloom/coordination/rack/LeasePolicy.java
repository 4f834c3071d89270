package org.plantainloom.coordination.rack;

/**
 * Times that rule leases on one rack.
 *
 * @param leaseMs length of a task's lease
 * @param startValidityMs how long after the zones were read a start may still be carried out
 * @param horizonMs how far ahead the record allows its owner to renew leases without the store
 * @param horizonSlackMs the horizon is moved on when it is nearer than {@code horizonMs} less this
 * @param clockSkewMs largest difference between the clocks of two machines
 * @param unreachableAfterMs silence after which a worker's leases are no longer renewed
 * @param checkpointIntervalMs how often the latest checkpoints are persisted
 * @param confirmIntervalMs how long an owner goes without hearing from the store of its record
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
  private static final long START_VALIDITY_MS = 1_800; // leaves 200 ms of the 2 s for clock skew
  private static final long HORIZON_MS =
      4_500_000; // outlives an hour without the store, by 15 minutes
  private static final long HORIZON_SLACK_MS = 60_000;
  private static final long CLOCK_SKEW_MS = 200;
  private static final long UNREACHABLE_MS = 5_000;
  private static final long CHECKPOINT_MS = 5_000;
  private static final long CONFIRM_MS = 5_000;

  /** Returns the times used unless the settings say otherwise. */
  public static LeasePolicy standard() {
    return new LeasePolicy(
        LEASE_MS,
        START_VALIDITY_MS,
        HORIZON_MS,
        HORIZON_SLACK_MS,
        CLOCK_SKEW_MS,
        UNREACHABLE_MS,
        CHECKPOINT_MS,
        CONFIRM_MS);
  }
}
