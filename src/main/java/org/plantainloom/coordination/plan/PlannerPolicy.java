package org.plantainloom.coordination.plan;

/**
 * How the planner scores workers and handles failed tasks.
 *
 * @param placement how workers are scored
 * @param retryBaseMs retry delay after a task's first failure; doubles with each further one
 * @param retryMaxMs maximum retry delay after a failure
 * @param failuresToSetAside number of distinct workers on which a task fails before it is set
 *     aside, that is, no longer placed
 * @param workerStrikes number of distinct tasks that fail on a worker in a row before it is set
 *     aside, that is, receives no new tasks for a time
 * @param workerPauseMs how long a worker is set aside the first time; doubles with each further
 *     time until a task succeeds on the worker
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
  public long retryDelayMs(int failures) {
    // The limit keeps the shift from overflowing.
    int doublings = Math.min(Math.max(failures - 1, 0), 20);
    return Math.min(retryMaxMs, retryBaseMs << doublings);
  }

  /**
   * Returns how long a worker is set aside.
   *
   * @param times how often it was set aside since a task last succeeded on it, this time included
   */
  public long workerPauseMs(int times) {
    int doublings = Math.min(Math.max(times - 1, 0), 20);
    return Math.min(workerPauseMaxMs, workerPauseMs << doublings);
  }
}
