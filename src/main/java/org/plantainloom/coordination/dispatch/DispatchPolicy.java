package org.plantainloom.coordination.dispatch;

/**
 * Times and limits of the dispatcher.
 *
 * @param leaseMs length of the leases given to workers; the most that the platform grants, so that
 *     running work outlives a change of the owner
 * @param stopGraceMs longest time a worker takes to stop a run; set by the platform
 * @param busyPollWaitMs how long a look waits at a worker that has work
 * @param idlePollWaitMs how long a look waits at a worker without work; the platform's limit
 * @param throttlingPollWaitMs how long a look waits at a worker whose tail latency is being
 *     controlled; half of the window over which workers measure it
 * @param takeoverTimeoutMs after how long without an answer a worker that was not reached yet is
 *     presumed to run nothing of a former owner
 */
public record DispatchPolicy(
    long leaseMs,
    long stopGraceMs,
    long busyPollWaitMs,
    long idlePollWaitMs,
    long throttlingPollWaitMs,
    long takeoverTimeoutMs) {
  /** How much longer than told a lease may last, as workers' clocks may run slow by 2 %. */
  private static final double SLOW_CLOCK_FACTOR = 1.02;

  /** Allowance for rounding and for the way of a message, in milliseconds. */
  private static final long LEASE_MARGIN_MS = 100;

  /** Within this time a former owner learns from its looks that it was replaced. */
  private static final long FENCING_DELAY_MS = 1_500;

  private static final long BUSY_POLL_WAIT_MS = 1_000;
  private static final long IDLE_POLL_WAIT_MS = 2_000;
  private static final long THROTTLING_POLL_WAIT_MS = 400;

  /** Returns the policy for a platform's limits, in milliseconds. */
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

  /** Returns how long a lease given now may last on a clock that runs slow, in milliseconds. */
  long longestLeaseMs() {
    return (long) (leaseMs * SLOW_CLOCK_FACTOR) + LEASE_MARGIN_MS;
  }
}
