package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Slows fill tasks beside a serving task whose tail latency nears its objective.
 *
 * <p>Answers the load in which the disturbance between two images, and the load of the serving
 * task, change within seconds: the share left to fill tasks of a worker is cut by a third for each
 * measurement above the objective and grows in small steps while all tails stay well below it. A
 * tail that stays over its objective with fill tasks at a standstill is not their doing.
 */
final class TailGuard {
  /** Part of the objective from which fill tasks are slowed. */
  private static final double HIGH = 0.9;

  /** Part of the objective below which fill tasks may work more again. */
  private static final double LOW = 0.7;

  private static final double CUT = 0.6;
  private static final int STEP_PERCENT = 15;
  private static final int LEAST_PERCENT = 10;

  /** Workers measure over half a second; a change shows in the measurement after that. */
  private static final long SETTLE_MS = 600;

  private TailGuard() {}

  /** Returns the orders that a fresh look at a worker gives rise to. */
  static List<Order> adjust(WorkerState worker, long nowMs) {
    double worst = 0;
    List<Run> fill = new ArrayList<>();
    for (Run run : worker.runs.values()) {
      long objective = run.task.phase.spec.tailObjectiveMs();
      if (objective > 0 && run.recent >= 0 && run.percent == 100 && !run.isStopping()) {
        worst = Math.max(worst, (double) run.recent / objective);
      } else if (run.task.phase.spec.fillsIdleCpu() && run.stage == Run.Stage.RUNNING) {
        fill.add(run);
      }
    }
    List<Order> orders = new ArrayList<>();
    for (Run run : fill) {
      int pace = pace(run, worst, nowMs);
      if (pace != run.orderedPace) {
        run.orderedPace = pace;
        run.progressedMs = nowMs;
        orders.add(new Order.Pace(worker.entry, run.task.key, run.number, pace));
      }
    }
    return orders;
  }

  private static int pace(Run run, double worst, long nowMs) {
    if (run.orderedPace != run.pace || nowMs - run.paceChangedMs < SETTLE_MS) {
      return run.orderedPace;
    }
    if (worst > HIGH) {
      int cut = (int) (run.pace * CUT);
      return worst > 1 && cut < LEAST_PERCENT ? 0 : Math.max(cut, LEAST_PERCENT);
    }
    return worst < LOW ? Math.min(100, run.pace + STEP_PERCENT) : run.pace;
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
