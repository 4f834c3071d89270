package org.plantainloom.coordination.dispatch;

/**
 * Lease, polling and takeover times of the dispatcher.
 *
 * @param leaseMs length of the leases given to workers; the platform's maximum, so that running
 *     tasks survive a change of owner
 * @param stopGraceMs longest time that a worker takes to stop a run; set by the platform
 * @param busyPollWaitMs long-poll wait at a worker with runs
 * @param idlePollWaitMs long-poll wait at a worker without runs; the platform's maximum
 * @param throttlingPollWaitMs long-poll wait at a worker whose tail latency is being controlled;
 *     half of the window over which workers measure it
 * @param takeoverTimeoutMs time without an answer after which a new owner assumes that a worker
 *     runs nothing that a previous owner started
 */
public record DispatchPolicy(
    long leaseMs,
    long stopGraceMs,
    long busyPollWaitMs,
    long idlePollWaitMs,
    long throttlingPollWaitMs,
    long takeoverTimeoutMs) {
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
    long longest = (long) (maxLeaseMs * SLOW_CLOCK_FACTOR) + LEASE_MARGIN_MS;
    return new DispatchPolicy(
        maxLeaseMs,
        stopGraceMs,
        BUSY_POLL_WAIT_MS,
        IDLE_POLL_WAIT_MS,
        THROTTLING_POLL_WAIT_MS,
        longest + FENCING_DELAY_MS);
  }

  /** Returns how long a lease may last on a worker whose clock runs slow, in milliseconds. */
  long longestLeaseMs() {
    return (long) (leaseMs * SLOW_CLOCK_FACTOR) + LEASE_MARGIN_MS;
  }
}
