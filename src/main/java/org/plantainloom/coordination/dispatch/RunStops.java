package org.plantainloom.coordination.dispatch;

import java.util.List;

/** Sends stops to the runs that are to end, again and again until the worker has answered. */
final class RunStops {
  private static final long RETRY_INTERVAL_MS = 300;

  private RunStops() {}

  /** Adds the stop commands that are due at a worker. */
  static void addDue(WorkerState worker, List<DispatchCommand> commands, long nowMs) {
    if (!worker.mayHaveStoppingRuns) {
      return;
    }
    worker.mayHaveStoppingRuns = false;
    for (Run run : worker.runs.values()) {
      worker.mayHaveStoppingRuns |= run.isStopping();
      boolean due = run.stopSentMs == 0 || nowMs - run.stopSentMs >= RETRY_INTERVAL_MS;
      if (run.isStopping() && !run.stopInFlight && run.stopAnsweredMs < 0 && due) {
        run.stopInFlight = true;
        run.stopSentMs = nowMs;
        commands.add(new DispatchCommand.Stop(worker.registration, run.task.key, run.number));
      }
    }
  }
}
