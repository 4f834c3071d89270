package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
final class InterferenceModel {
  /** Pressure at which the tail would meet its objective, less room for what a look misses. */
  private static final double PRESSURE_HEADROOM = 0.06;

  /** Coefficients are between 0 and about 5; half of the pairs have one near 0. */
  private static final double PRIOR_VARIANCE = 4;

  /**
   * Variance of the pressure by the serving task's own changing load, times the number of looks
   * within one of its swings, as these looks tell little more than one of them.
   */
  private static final double NOISE_VARIANCE = 0.15;

  private static final double VARIANCE_DRIFT = 0;

  /** A fill task that began later than this before a look shows only in part in its figures. */
  private static final long WARM_UP_MS = 500;

  /** A smaller coefficient is not told apart from changes of the load. */
  private static final double MIN_COEFFICIENT = 0.5;

  /** How far the load of a serving task rises above its mean at its peak. */
  private static final double PEAK_LOAD_ABOVE_MEAN = 0.21;

  /** Part of the way that one lower figure moves the lowest tail. */
  private static final double BASELINE_SMOOTHING = 0.2;

  private static final double MEAN_LOAD = 0.42;

  private final Map<String, ServingImage> servingImages = new HashMap<>();
  private final Map<String, Integer> fillFeatures = new HashMap<>();

  private static final class ServingImage {
    final RecursiveLeastSquares estimate =
        new RecursiveLeastSquares(PRIOR_VARIANCE, NOISE_VARIANCE, VARIANCE_DRIFT);
    double baselineTailMs = Double.MAX_VALUE;

    /** Follows the lowest tails; a single low figure does not count, as figures are rough. */
    void updateBaseline(double tail) {
      if (baselineTailMs == Double.MAX_VALUE) {
        baselineTailMs = tail;
      } else if (tail < baselineTailMs) {
        baselineTailMs += BASELINE_SMOOTHING * (tail - baselineTailMs);
      }
    }

    double pressure(double tail) {
      return 1 - Math.min(1, baselineTailMs / Math.max(tail, 1));
    }

    /**
     * Tells whether a fill image is likely to disturb; a coefficient that is no larger than its
     * deviation is not, so that the pair is tried again until more is known of it.
     */
    boolean isDisturbedBy(int feature) {
      double coefficient = estimate.coefficient(feature);
      return coefficient >= MIN_COEFFICIENT && coefficient > estimate.standardDeviation(feature);
    }

    double pressureLimit(double objective) {
      return Math.max(0, pressure(objective) - PRESSURE_HEADROOM);
    }
  }

  private int feature(String fillImage) {
    return fillFeatures.computeIfAbsent(fillImage, image -> fillFeatures.size() + 1);
  }

  /**
   * Learns from a fresh look at a worker on which no fill task is slowed: those that are slowed are
   * slowed because of the tails, so their use tells nothing of what they would do at full pace.
   */
  void observe(WorkerState worker, long nowMs) {
    if (!hasNoCpuLimits(worker, nowMs)) {
      return;
    }
    double[] use = null;
    for (Run run : worker.runs.values()) {
      if (!isServing(run)) {
        continue;
      }
      if (use == null) {
        use = fillUse(worker);
      }
      ServingImage serving =
          servingImages.computeIfAbsent(run.task.phase.imageKey, image -> new ServingImage());
      serving.updateBaseline((double) run.recentMeasurement);
      serving.estimate.grow(fillFeatures.size() + 1);
      serving.estimate.observe(use, serving.pressure((double) run.recentMeasurement));
    }
  }

  private static boolean hasNoCpuLimits(WorkerState worker, long nowMs) {
    for (Run run : worker.runs.values()) {
      boolean slowed = run.cpuLimitPercent < 100 || run.requestedCpuLimitPercent < 100;
      if (run.task.phase.spec.fillsIdleCpu() && (slowed || nowMs - run.startSentMs < WARM_UP_MS)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the share of the processors that each fill image uses; a constant 1 comes first. */
  private double[] fillUse(WorkerState worker) {
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu()) {
        feature(run.task.phase.imageKey);
      }
    }
    double[] use = new double[fillFeatures.size() + 1];
    use[0] = 1;
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu() && run.recentMeasurement > 0) {
        use[feature(run.task.phase.imageKey)] += share((double) run.recentMeasurement, worker);
      }
    }
    return use;
  }

  private static double share(double cpuMillis, WorkerState worker) {
    return cpuMillis / Math.max(1, worker.registration.capacity().cpuMillis());
  }

  static boolean isServing(Run run) {
    return run.task.phase.spec.tailObjectiveMs() > 0
        && run.recentMeasurement >= 0
        && run.progressPercent == 100
        && !run.isStopping();
  }

  /** Returns the coefficient of a pair; 0 if it is too small to matter. */
  double confidentCoefficient(String servingImage, String fillImage) {
    ServingImage serving = servingImages.get(servingImage);
    Integer feature = fillFeatures.get(fillImage);
    if (serving == null || feature == null) {
      return 0;
    }
    double coefficient =
        serving.estimate.coefficient(feature) - serving.estimate.standardDeviation(feature);
    return coefficient < MIN_COEFFICIENT ? 0 : coefficient;
  }

  /** Returns the pressure that a run of a fill task would put on a serving task at full pace. */
  double unlimitedPressure(Run serving, PhaseState fill, WorkerState worker) {
    return confidentCoefficient(serving.task.phase.imageKey, fill.imageKey)
        * share(fill.spec.need().cpuMillis(), worker);
  }

  /** As {@link #confidentCoefficient}, but also counts pairs of which little is known yet. */
  private double likelyCoefficient(String servingImage, String fillImage) {
    ServingImage known = servingImages.get(servingImage);
    Integer feature = fillFeatures.get(fillImage);
    if (known == null || feature == null) {
      return 0;
    }
    double coefficient = known.estimate.coefficient(feature);
    return coefficient < MIN_COEFFICIENT ? 0 : coefficient;
  }

  /** Returns the pressure that fill tasks may put on a serving task now. */
  double remainingPressure(Run serving, WorkerState worker) {
    ServingImage known = servingImages.get(serving.task.phase.imageKey);
    if (known == null) {
      return 1;
    }
    double own = known.pressure((double) serving.recentMeasurement);
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu() && run.recentMeasurement > 0) {
        own -=
            confidentCoefficient(serving.task.phase.imageKey, run.task.phase.imageKey)
                * share((double) run.recentMeasurement, worker);
      }
    }
    return known.pressureLimit((double) serving.task.phase.spec.tailObjectiveMs())
        - Math.max(0, own);
  }

  /** Returns how many fill images disturb a serving task of a worker. */
  int countDisturbingImages(WorkerState worker) {
    int count = 0;
    for (int feature : fillFeatures.values()) {
      for (Run run : worker.runs.values()) {
        ServingImage known = servingImages.get(run.task.phase.imageKey);
        if (run.task.phase.spec.tailObjectiveMs() > 0
            && known != null
            && known.isDisturbedBy(feature)) {
          count++;
          break;
        }
      }
    }
    return count;
  }

  /**
   * Returns by how much one more fill task would bring the serving tasks of a worker, together,
   * over their limit when their own load is at its peak; 0 if it would not.
   */
  double overload(PhaseState fill, WorkerState worker, long nowMs) {
    double share = share(fill.spec.need().cpuMillis(), worker);
    double total = 0;
    for (ServingGroup group : worker.servingGroups(nowMs, this::servingGroups)) {
      double added = likelyCoefficient(group.image(), fill.imageKey) * share;
      if (added > 0) {
        double pressure = added + group.fillPressure() + MEAN_LOAD + PEAK_LOAD_ABOVE_MEAN;
        total += group.tasks() * Math.max(0, pressure - group.limit());
      }
    }
    return total;
  }

  private List<ServingGroup> servingGroups(WorkerState worker) {
    Map<String, List<Run>> byImage = new HashMap<>();
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.tailObjectiveMs() > 0) {
        byImage.computeIfAbsent(run.task.phase.imageKey, image -> new ArrayList<>()).add(run);
      }
    }
    List<ServingGroup> groups = new ArrayList<>(byImage.size());
    byImage.forEach((image, runs) -> groups.add(servingGroup(image, runs, worker)));
    return groups;
  }

  private ServingGroup servingGroup(String image, List<Run> serving, WorkerState worker) {
    double pressure = 0;
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu()) {
        pressure +=
            likelyCoefficient(image, run.task.phase.imageKey)
                * share(run.task.phase.spec.need().cpuMillis(), worker);
      }
    }
    ServingImage known = servingImages.get(image);
    double limit = 1;
    for (Run run : serving) {
      double objective = (double) run.task.phase.spec.tailObjectiveMs();
      limit = known == null ? limit : Math.min(limit, known.pressureLimit(objective));
    }
    return new ServingGroup(image, serving.size(), pressure, limit);
  }
}
