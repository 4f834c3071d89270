package org.plantainloom.coordination.plan;

/**
 * Settings of the queue.
 *
 * @param placement how a worker is chosen
 * @param retryBaseMs pause after a task's first failure; doubles with each further one
 * @param retryMaxMs longest pause after a failure
 * @param failuresToSetAside workers on which a task may fail before it is placed no more
 * @param workerStrikes tasks in a row that a worker may fail before it is set aside
 * @param workerPauseMs first pause of a worker that is set aside; doubles each time
 * @param workerPauseMaxMs longest pause of a worker
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

  /** Returns the settings used unless the configuration says otherwise. */
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

  /** Returns the pause after that many failures of a task. */
  public long retryPauseMs(int failures) {
    int doublings = Math.min(Math.max(failures - 1, 0), 20);
    return Math.min(retryMaxMs, retryBaseMs << doublings);
  }

  /** Returns the pause of a worker that is set aside for the given time in a row, from 1. */
  public long workerPauseMs(int times) {
    int doublings = Math.min(Math.max(times - 1, 0), 20);
    return Math.min(workerPauseMaxMs, workerPauseMs << doublings);
  }
}
