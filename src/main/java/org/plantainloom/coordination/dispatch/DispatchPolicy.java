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
 * @param previousOwnerActsMs longest time after its last confirmation in which a previous owner of
 *     this release may start tasks and renew leases
 * @param olderReleaseActsMs the same for an owner of any release that is still in use
 * @param takeoverTimeoutMs time after a takeover by which the leases that unknown previous owners
 *     gave have expired: up to the platform's maximum
 */
public record DispatchPolicy(
    long leaseMs,
    long stopGraceMs,
    long busyPollWaitMs,
    long idlePollWaitMs,
    long throttlingPollWaitMs,
    long previousOwnerActsMs,
    long olderReleaseActsMs,
    long takeoverTimeoutMs) {
  /**
   * Longest lease, even if the platform allows more. Running tasks have to survive a change of
   * owner: 3 s until the key of a lost owner is gone, 1 s to elect and to reach the workers, and 1
   * s since the last renewal. A longer lease only delays the restart of tasks of lost workers.
   */
  private static final long MAX_LEASE_MS = 6_000;

  private static final long BUSY_POLL_WAIT_MS = 1_000;
  private static final long IDLE_POLL_WAIT_MS = 2_000;

  /**
   * Allowance for rounding, message delay, and the drift of a worker's clock since an owner last
   * read it, which is one idle poll and its delay ago at the most.
   */
  private static final long LEASE_MARGIN_MS = 200;

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
        OwnershipLease.longestActingMs(),
        OwnershipLease.longestActingOfAnyReleaseMs(),
        longestLeaseMs(maxLeaseMs) + OwnershipLease.longestActingOfAnyReleaseMs());
  }

  /** Returns how long a lease may last on this process's clock, in milliseconds. */
  long longestLeaseMs() {
    return longestLeaseMs(leaseMs);
  }

  /** Returns how long any lease that the platform allows may last, in milliseconds. */
  long longestPlatformLeaseMs() {
    return takeoverTimeoutMs - olderReleaseActsMs;
  }

  private static long longestLeaseMs(long leaseMs) {
    return ClockDrift.longestMs(leaseMs) + LEASE_MARGIN_MS;
  }
}
