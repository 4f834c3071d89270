package org.plantainloom.coordination.dispatch;

/**
 * Lease, polling and takeover times of the dispatcher.
 *
 * @param leaseMs length of the leases given to workers
 * @param stopGraceMs longest time that a worker takes to stop a run; set by the platform
 * @param busyPollWaitMs long-poll wait at a worker with runs
 * @param idlePollWaitMs long-poll wait at a worker without runs; the platform's maximum
 * @param throttlingPollWaitMs long-poll wait at a worker whose tail latency is being controlled;
 *     half of the window over which workers measure it
 * @param fencingDelayMs time within which a previous owner that is alive learns from its polls that
 *     it has been replaced
 * @param takeoverTimeoutMs time after a takeover by which the leases that unknown previous owners
 *     gave have expired: up to the platform's maximum, given until they have learned of it
 */
public record DispatchPolicy(
    long leaseMs,
    long stopGraceMs,
    long busyPollWaitMs,
    long idlePollWaitMs,
    long throttlingPollWaitMs,
    long fencingDelayMs,
    long takeoverTimeoutMs) {
  /**
   * Longest lease, even if the platform allows more. Running tasks have to survive a change of
   * owner: 3 s until the key of a lost owner is gone, 1 s to elect and to reach the workers, and 1
   * s since the last renewal. A longer lease only delays the restart of tasks of lost workers.
   */
  private static final long MAX_LEASE_MS = 6_000;

  /** Workers' clocks may run up to 2 % slow, which lengthens a lease by as much. */
  private static final double SLOW_CLOCK_FACTOR = 1.02;

  /** Allowance for rounding and message delay. */
  private static final long LEASE_MARGIN_MS = 100;

  /** Time within which a previous owner learns from its polls that it has been replaced. */
  private static final long FENCING_DELAY_MS = 1_500;

  private static final long BUSY_POLL_WAIT_MS = 1_000;
  private static final long IDLE_POLL_WAIT_MS = 2_000;
  private static final long THROTTLING_POLL_WAIT_MS = 400;

  /** Returns the policy for the limits of a platform. */
  public static DispatchPolicy of(long maxLeaseMs, long stopGraceMs) {
    long leaseMs = Math.min(maxLeaseMs, MAX_LEASE_MS);
    return new DispatchPolicy(
        leaseMs,
        stopGraceMs,
        BUSY_POLL_WAIT_MS,
        IDLE_POLL_WAIT_MS,
        THROTTLING_POLL_WAIT_MS,
        FENCING_DELAY_MS,
        longestLeaseMs(maxLeaseMs) + FENCING_DELAY_MS);
  }

  /** Returns how long a lease may last on a worker whose clock runs slow, in milliseconds. */
  long longestLeaseMs() {
    return longestLeaseMs(leaseMs);
  }

  private static long longestLeaseMs(long leaseMs) {
    return (long) (leaseMs * SLOW_CLOCK_FACTOR) + LEASE_MARGIN_MS;
  }
}
