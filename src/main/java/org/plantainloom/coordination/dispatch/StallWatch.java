package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;

/**
 * Stops runs that make no progress, so that they can run elsewhere.
 *
 * <p>Answers the load in which some workers accept tasks and let them stand still while their
 * health check is good.
 */
final class StallWatch {
  /** A finite run without progress for this long stands still; looks come at least every second. */
  private static final long STALL_MS = 2_500;

  /** Below this pace a fill task may take long for one percent. */
  private static final int SLOWED_PERCENT = 100;

  private final DecisionLog log;

  StallWatch(DecisionLog log) {
    this.log = log;
  }

  void check(Collection<WorkerState> workers, long nowMs) {
    for (WorkerState worker : workers) {
      if (worker.unreachable) {
        continue;
      }
      for (Run run : new ArrayList<>(worker.runs.values())) {
        if (isStalled(run, nowMs)) {
          log.decided("run-stalled", run, "percent=" + run.percent);
          run.stop();
          worker.suspend(nowMs);
        }
      }
    }
  }

  private static boolean isStalled(Run run, long nowMs) {
    return run.stage == Run.Stage.RUNNING
        && run.pace == SLOWED_PERCENT
        && run.orderedPace == SLOWED_PERCENT
        && run.percent < 100
        && nowMs - run.progressedMs > STALL_MS;
  }
}
