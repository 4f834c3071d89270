package org.plantainloom.coordination.plan;

/**
 * Settings of the planner's queues.
 *
 * @param placement how workers are scored
 * @param retryBaseMs retry delay after a task's first failure; doubles with each further one
 * @param retryMaxMs maximum retry delay after a failure
 * @param failuresToSetAside number of workers on which a task fails before it is no longer placed
 * @param workerStrikes number of distinct tasks that fail on a worker in a row before it is set
 *     aside
 * @param workerPauseMs how long a worker is first set aside; doubles each time
 * @param workerPauseMaxMs maximum time for which a worker is set aside
 */
public record PlannerPolicy(
    PlacementPolicy placement,
    long retryBaseMs,
    long retryMaxMs,
    int failuresToSetAside,
    int workerStrikes,
    long workerPauseMs,
    long workerPauseMaxMs) {
  private static final long RETRY_BASE_MS = 500;
  private static final long RETRY_MAX_MS = 60_000;
  private static final int FAILURES_TO_SET_ASIDE = 3;
  private static final int WORKER_STRIKES = 3;
  private static final long WORKER_PAUSE_MS = 10_000;
  private static final long WORKER_PAUSE_MAX_MS = 300_000;

  /** Returns the default settings. */
  public static PlannerPolicy standard() {
    return new PlannerPolicy(
        PlacementPolicy.RESERVE_ACCELERATORS,
        RETRY_BASE_MS,
        RETRY_MAX_MS,
        FAILURES_TO_SET_ASIDE,
        WORKER_STRIKES,
        WORKER_PAUSE_MS,
        WORKER_PAUSE_MAX_MS);
  }

  /** Returns the retry delay after the given number of failures of a task. */
  public long retryPauseMs(int failures) {
    int doublings = Math.min(Math.max(failures - 1, 0), 20);
    return Math.min(retryMaxMs, retryBaseMs << doublings);
  }

  /**
   * Returns how long a worker is set aside; {@code times} counts from 1 how often in a row it was.
   */
  public long workerPauseMs(int times) {
    int doublings = Math.min(Math.max(times - 1, 0), 20);
    return Math.min(workerPauseMaxMs, workerPauseMs << doublings);
  }
}
