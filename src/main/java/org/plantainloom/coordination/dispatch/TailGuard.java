package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Slows fill tasks beside a serving task whose tail latency would pass its objective.
 *
 * <p>Answers the load in which the load of serving tasks, and with it the disturbance that they
 * bear, changes within seconds. Fill tasks of images that are known to disturb a serving task share
 * the pressure that it can still bear; a tail that stays over its objective although no culprit is
 * known slows all fill tasks beside it, and stops them from working before the excess has lasted as
 * long as the platform tolerates.
 */
final class TailGuard {
  /** Smaller changes of pace are not worth a call. */
  private static final int LEAST_CHANGE_PERCENT = 12;

  private static final int STEP_PERCENT = 10;

  /** Workers measure over half a second; a change shows in the measurement after that. */
  private static final long SETTLE_MS = 500;

  /** Excess without a known culprit that slows all fill tasks, and that brings them to a halt. */
  private static final long SLOW_ALL_MS = 1_000;

  private static final long HALT_ALL_MS = 2_000;
  private static final int SLOWED_PERCENT = 40;

  /**
   * Pace at which a fill task that has a checkpoint is better off elsewhere, and after how long.
   */
  private static final int STARVED_PERCENT = 15;

  private static final long STARVED_MS = 900;

  private final Interference interference;

  TailGuard(Interference interference) {
    this.interference = interference;
  }

  /** Returns the orders that a fresh look at a worker gives rise to. */
  List<DispatchCommand> adjust(WorkerState worker, long nowMs) {
    interference.observe(worker, nowMs);
    worker.unwelcomeImages = interference.unwelcomeImages(worker);
    List<Run> serving = new ArrayList<>();
    List<Run> fill = new ArrayList<>();
    for (Run run : worker.runs.values()) {
      if (Interference.serves(run)) {
        noteExcess(run, nowMs);
        serving.add(run);
      } else if (run.task.phase.spec.fillsIdleCpu() && run.stage == Run.Stage.RUNNING) {
        fill.add(run);
      }
    }
    List<DispatchCommand> orders = new ArrayList<>();
    for (Run run : fill) {
      int pace = 100;
      for (Run neighbour : serving) {
        pace = Math.min(pace, pace(run, neighbour, fill, worker, nowMs));
      }
      if (isStarved(run, pace, nowMs)) {
        run.stop();
      } else {
        order(run, pace, orders, nowMs);
      }
    }
    return orders;
  }

  /** Tells whether a fill task that can resume elsewhere has been left without room for a while. */
  private static boolean isStarved(Run run, int pace, long nowMs) {
    if (pace > STARVED_PERCENT || !run.task.phase.spec.checkpointing()) {
      run.starvedSinceMs = 0;
    } else if (run.starvedSinceMs == 0) {
      run.starvedSinceMs = nowMs;
    }
    return run.starvedSinceMs != 0 && nowMs - run.starvedSinceMs >= STARVED_MS;
  }

  private static void noteExcess(Run run, long nowMs) {
    if (run.recent <= run.task.phase.spec.tailObjectiveMs()) {
      run.excessSinceMs = 0;
    } else if (run.excessSinceMs == 0) {
      run.excessSinceMs = nowMs;
    }
  }

  private int pace(Run run, Run neighbour, List<Run> fill, WorkerState worker, long nowMs) {
    long excessMs = neighbour.excessSinceMs == 0 ? 0 : nowMs - neighbour.excessSinceMs;
    if (excessMs >= HALT_ALL_MS) {
      return 0;
    }
    int pace = excessMs >= SLOW_ALL_MS ? SLOWED_PERCENT : 100;
    if (interference.fullPressure(neighbour, run.task.phase, worker) == 0) {
      return pace;
    }
    double wanted = 0;
    for (Run other : fill) {
      wanted += interference.fullPressure(neighbour, other.task.phase, worker);
    }
    double room = Math.max(0, interference.room(neighbour, worker));
    return Math.min(pace, (int) (100 * Math.min(1, room / wanted)));
  }

  private static void order(Run run, int wanted, List<DispatchCommand> orders, long nowMs) {
    boolean settling = run.orderedPace != run.pace || nowMs - run.paceChangedMs < SETTLE_MS;
    int pace = wanted >= 100 ? 100 : wanted / STEP_PERCENT * STEP_PERCENT;
    int change = Math.abs(pace - run.orderedPace);
    boolean atEnd = pace == 100 || pace == 0;
    if (settling || change == 0 || (change < LEAST_CHANGE_PERCENT && !atEnd)) {
      return;
    }
    run.orderedPace = pace;
    run.progressedMs = nowMs;
    orders.add(new DispatchCommand.LimitCpu(run.worker.entry, run.task.key, run.number, pace));
  }

  /** Returns whether a worker holds both serving tasks with an objective and fill tasks. */
  static boolean isNeeded(WorkerState worker) {
    boolean serving = false;
    boolean filling = false;
    for (Run run : worker.runs.values()) {
      serving |= run.task.phase.spec.tailObjectiveMs() > 0;
      filling |= run.task.phase.spec.fillsIdleCpu();
    }
    return serving && filling;
  }
}
