package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;

/**
 * Stops runs that make no progress, so that their tasks can run elsewhere.
 *
 * <p>Some workers accept tasks and do not execute them although their health check succeeds.
 */
final class StallDetector {
  /** A run without progress for this long counts as stalled; polls come at least every second. */
  private static final long STALL_TIMEOUT_MS = 2_500;

  /** The same for a lasting task during its start-up, when it does not serve yet. */
  private static final long LASTING_STALL_TIMEOUT_MS = 5_000;

  /** Maximum share of workers suspended at once; if more stall, not all of them are at fault. */
  private static final double MAX_SUSPENDED_SHARE = 0.25;

  /** With a lower CPU limit, a fill task may take long to progress by one percent. */
  private static final int UNLIMITED_CPU_PERCENT = 100;

  /** Polls of a worker are not answered more often, so more frequent checks find nothing new. */
  private static final long CHECK_INTERVAL_MS = 200;

  private final DecisionLog log;
  private long lastCheckMs;

  StallDetector(DecisionLog log) {
    this.log = log;
  }

  void stopStalledRuns(Collection<WorkerState> workers, long nowMs) {
    if (nowMs - lastCheckMs < CHECK_INTERVAL_MS) {
      return;
    }
    lastCheckMs = nowMs;
    long suspended = workers.stream().filter(w -> w.suspendedUntilMs > nowMs).count();
    for (WorkerState worker : workers) {
      if (worker.unreachable) {
        continue;
      }
      for (Run run : new ArrayList<>(worker.runs.values())) {
        if (isStalled(run)) {
          log.logDecision("run-stalled", run, "percent=" + run.progressPercent);
          run.stop();
          if (worker.suspendedUntilMs <= nowMs
              && suspended < MAX_SUSPENDED_SHARE * workers.size()) {
            worker.suspend(nowMs);
            suspended++;
          }
        }
      }
    }
  }

  private static boolean isStalled(Run run) {
    long limitMs = run.task.phase.spec.lasting() ? LASTING_STALL_TIMEOUT_MS : STALL_TIMEOUT_MS;
    return run.stage == Run.Stage.RUNNING
        && run.cpuLimitPercent == UNLIMITED_CPU_PERCENT
        && run.requestedCpuLimitPercent == UNLIMITED_CPU_PERCENT
        && run.progressPercent < 100
        && run.lastReportedMs - run.lastProgressMs > limitMs;
  }
}
