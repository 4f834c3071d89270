package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;

/**
 * Stops runs that make no progress, so that they can run elsewhere.
 *
 * <p>Answers the load in which some workers accept tasks and let them stand still while their
 * health check is good.
 */
final class StallDetector {
  /**
   * A run of which looks tell no progress over this time stands still; looks come at least every
   * second.
   */
  private static final long STALL_TIMEOUT_MS = 2_500;

  /** The same for a lasting task, which serves nobody while it starts up. */
  private static final long LASTING_STALL_TIMEOUT_MS = 5_000;

  /** Part of the workers that may be left alone at once; more of them are not all at fault. */
  private static final double MAX_SUSPENDED_SHARE = 0.25;

  /** Below this pace a fill task may take long for one percent. */
  private static final int UNLIMITED_CPU_PERCENT = 100;

  /** Looks come at most this often from a worker; checking more often shows nothing new. */
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
