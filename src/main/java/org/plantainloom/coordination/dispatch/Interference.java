package org.plantainloom.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns which fill images disturb which serving images, and by how much.
 *
 * <p>Answers the load in which the disturbance depends on the pair of images and most pairs do not
 * disturb each other at all: slowing every fill task beside a slow serving task would give away
 * most of the idle processors for nothing. The tail latency of a serving task is taken as that of a
 * queue, {@code calm / (1 - pressure)}; its pressure is the sum of its own load and, for each fill
 * image beside it, a coefficient of the pair times the share of the worker's processors in use by
 * it.
 */
final class Interference {
  /** Pressure at which the tail would meet its objective, less room for what a look misses. */
  private static final double HEADROOM = 0.06;

  /** The lowest tail seen is that of a task under some load; part of it without any. */
  private static final double CALM_SHARE = 0.8;

  /** Coefficients are between 0 and about 5; half of the pairs have one near 0. */
  private static final double PRIOR_VARIANCE = 4;

  /** Variance of the pressure by the serving task's own changing load. */
  private static final double NOISE_VARIANCE = 0.03;

  private static final double DRIFT = 0.0005;

  /** A smaller coefficient is not told apart from changes of the load. */
  private static final double LEAST_COEFFICIENT = 0.35;

  /** How far the load of a serving task rises above its mean at its peak. */
  private static final double PEAK_LOAD = 0.15;

  private static final double MEAN_LOAD = 0.42;

  private final Map<String, Serving> servingImages = new HashMap<>();
  private final Map<String, Integer> fillImages = new HashMap<>();

  private static final class Serving {
    final LinearEstimate estimate = new LinearEstimate(PRIOR_VARIANCE, NOISE_VARIANCE, DRIFT);
    double lowestTail = Double.MAX_VALUE;

    double pressure(double tail) {
      return 1 - Math.min(1, CALM_SHARE * lowestTail / Math.max(tail, 1));
    }

    double limit(double objective) {
      return Math.max(0, pressure(objective) - HEADROOM);
    }
  }

  private int feature(String fillImage) {
    return fillImages.computeIfAbsent(fillImage, image -> fillImages.size() + 1);
  }

  /** Learns from a fresh look at a worker. */
  void observe(WorkerState worker) {
    double[] use = null;
    for (Run run : worker.runs.values()) {
      if (!serves(run)) {
        continue;
      }
      if (use == null) {
        use = fillUse(worker);
      }
      Serving serving =
          servingImages.computeIfAbsent(run.task.phase.imageKey, image -> new Serving());
      serving.lowestTail = Math.min(serving.lowestTail, (double) Math.max(run.recent, 1));
      serving.estimate.grow(fillImages.size() + 1);
      serving.estimate.observe(use, serving.pressure((double) run.recent));
    }
  }

  /** Returns the share of the processors that each fill image uses; a constant 1 comes first. */
  private double[] fillUse(WorkerState worker) {
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu()) {
        feature(run.task.phase.imageKey);
      }
    }
    double[] use = new double[fillImages.size() + 1];
    use[0] = 1;
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu() && run.recent > 0) {
        use[feature(run.task.phase.imageKey)] += share((double) run.recent, worker);
      }
    }
    return use;
  }

  private static double share(double cpuMillis, WorkerState worker) {
    return cpuMillis / Math.max(1, worker.entry.capacity().cpuMillis());
  }

  static boolean serves(Run run) {
    return run.task.phase.spec.tailObjectiveMs() > 0
        && run.recent >= 0
        && run.percent == 100
        && !run.isStopping();
  }

  /** Returns the coefficient of a pair; 0 if it is too small to matter. */
  double coefficient(String servingImage, String fillImage) {
    Serving serving = servingImages.get(servingImage);
    Integer feature = fillImages.get(fillImage);
    if (serving == null || feature == null) {
      return 0;
    }
    double coefficient = serving.estimate.coefficient(feature);
    return coefficient < LEAST_COEFFICIENT ? 0 : coefficient;
  }

  /** Returns the pressure that a run of a fill task would put on a serving task at full pace. */
  double fullPressure(Run serving, PhaseState fill, WorkerState worker) {
    return coefficient(serving.task.phase.imageKey, fill.imageKey)
        * share(fill.spec.need().cpuMillis(), worker);
  }

  /** Returns the pressure that fill tasks may put on a serving task now. */
  double room(Run serving, WorkerState worker) {
    Serving known = servingImages.get(serving.task.phase.imageKey);
    if (known == null) {
      return 1;
    }
    double own = known.pressure((double) serving.recent);
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu() && run.recent > 0) {
        own -=
            coefficient(serving.task.phase.imageKey, run.task.phase.imageKey)
                * share((double) run.recent, worker);
      }
    }
    return known.limit((double) serving.task.phase.spec.tailObjectiveMs()) - Math.max(0, own);
  }

  /**
   * Returns by how much one more fill task would bring the serving tasks of a worker over their
   * limit when their own load is at its peak; 0 if it would not.
   */
  double overload(PhaseState fill, WorkerState worker) {
    double worst = 0;
    for (Run serving : worker.runs.values()) {
      if (serving.task.phase.spec.tailObjectiveMs() <= 0) {
        continue;
      }
      double added = fullPressure(serving, fill, worker);
      if (added == 0) {
        continue;
      }
      for (Run run : worker.runs.values()) {
        if (run.task.phase.spec.fillsIdleCpu()) {
          added += fullPressure(serving, run.task.phase, worker);
        }
      }
      Serving known = servingImages.get(serving.task.phase.imageKey);
      double limit = known.limit((double) serving.task.phase.spec.tailObjectiveMs());
      worst = Math.max(worst, added + MEAN_LOAD + PEAK_LOAD - limit);
    }
    return worst;
  }
}
