package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns which fill images raise the tail latency of which serving images, and by how much.
 *
 * <p>Interference depends on the pair of images, and most pairs do not interfere at all. Limiting
 * every fill task beside a slow serving task would therefore waste most of the idle processor time.
 * The tail latency of a serving task is modelled as that of a queue:
 *
 * <pre>{@code tail = baseline / (1 - pressure)}</pre>
 *
 * <p>The pressure is the task's own load plus, for each fill image on the same worker, the
 * coefficient of the pair times the share of the worker's processors that the image uses.
 */
final class InterferenceModel {
  /** Distance kept from the pressure at the objective, for excesses that polls miss. */
  private static final double PRESSURE_HEADROOM = 0.06;

  /** Coefficients lie between 0 and about 5; those of half of the pairs are close to 0. */
  private static final double PRIOR_VARIANCE = 4;

  /**
   * Variance of the pressure due to changes in the serving task's own load, multiplied by the
   * number of polls within one load cycle: polls of the same cycle carry little more information
   * than a single one.
   */
  private static final double NOISE_VARIANCE = 0.15;

  /** 0, so that samples are never forgotten. */
  private static final double VARIANCE_DRIFT = 0;

  /** Measurements cover a fill task only in part if it started less than this before the poll. */
  private static final long WARM_UP_MS = 500;

  /** Smaller coefficients cannot be distinguished from load changes. */
  private static final double MIN_COEFFICIENT = 0.5;

  /** Difference between the peak and the mean of a serving task's own load. */
  private static final double PEAK_LOAD_ABOVE_MEAN = 0.21;

  /** Share of the difference by which one lower measurement moves the baseline. */
  private static final double BASELINE_SMOOTHING = 0.2;

  /** Mean of a serving task's own load, as pressure. */
  private static final double MEAN_LOAD = 0.42;

  private final Map<String, ServingImage> servingImages = new HashMap<>();
  private final Map<String, Integer> fillFeatures = new HashMap<>();

  private static final class ServingImage {
    final RecursiveLeastSquares estimate =
        new RecursiveLeastSquares(PRIOR_VARIANCE, NOISE_VARIANCE, VARIANCE_DRIFT);
    double baselineTailMs = Double.MAX_VALUE;

    /** Follows the lowest tails gradually, because single measurements are noisy. */
    void updateBaseline(double tailMs) {
      if (baselineTailMs == Double.MAX_VALUE) {
        baselineTailMs = tailMs;
      } else if (tailMs < baselineTailMs) {
        baselineTailMs += BASELINE_SMOOTHING * (tailMs - baselineTailMs);
      }
    }

    double pressure(double tailMs) {
      return 1 - Math.min(1, baselineTailMs / Math.max(tailMs, 1));
    }

    /**
     * Returns whether a fill image is likely to disturb this image. A coefficient no larger than
     * its standard deviation does not count, so that the pair is tried again until more is known.
     */
    boolean isDisturbedBy(int feature) {
      double coefficient = estimate.coefficient(feature);
      return coefficient >= MIN_COEFFICIENT && coefficient > estimate.standardDeviation(feature);
    }

    double pressureLimit(double objectiveMs) {
      return Math.max(0, pressure(objectiveMs) - PRESSURE_HEADROOM);
    }
  }

  private int feature(String fillImage) {
    return fillFeatures.computeIfAbsent(fillImage, image -> fillFeatures.size() + 1);
  }

  /**
   * Learns from a fresh poll of a worker on which no fill task has a CPU limit. Limits are set
   * because of the tails, so a limited task's use says nothing about its effect without the limit.
   */
  void observe(WorkerState worker, long nowMs) {
    if (!isObservable(worker, nowMs)) {
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

  private static boolean isObservable(WorkerState worker, long nowMs) {
    for (Run run : worker.runs.values()) {
      boolean limited = run.cpuLimitPercent < 100 || run.requestedCpuLimitPercent < 100;
      if (run.task.phase.spec.fillsIdleCpu() && (limited || nowMs - run.startSentMs < WARM_UP_MS)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the features of a sample: a constant 1, then the share of the worker's processors that
   * each fill image uses.
   */
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

  /** Returns a lower estimate of the coefficient of a pair; 0 if it is too small to matter. */
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

  /** Returns the pressure that a run of a fill task without a CPU limit puts on a serving task. */
  double unlimitedPressure(Run serving, PhaseState fill, WorkerState worker) {
    return confidentCoefficient(serving.task.phase.imageKey, fill.imageKey)
        * share(fill.spec.need().cpuMillis(), worker);
  }

  /** Like {@link #confidentCoefficient}, but includes pairs of which little is known yet. */
  private double likelyCoefficient(String servingImage, String fillImage) {
    ServingImage model = servingImages.get(servingImage);
    Integer feature = fillFeatures.get(fillImage);
    if (model == null || feature == null) {
      return 0;
    }
    double coefficient = model.estimate.coefficient(feature);
    return coefficient < MIN_COEFFICIENT ? 0 : coefficient;
  }

  /** Returns the pressure that fill tasks may currently put on a serving task. */
  double remainingPressure(Run serving, WorkerState worker) {
    ServingImage model = servingImages.get(serving.task.phase.imageKey);
    if (model == null) {
      return 1;
    }
    double ownPressure = model.pressure((double) serving.recentMeasurement);
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu() && run.recentMeasurement > 0) {
        ownPressure -=
            confidentCoefficient(serving.task.phase.imageKey, run.task.phase.imageKey)
                * share((double) run.recentMeasurement, worker);
      }
    }
    return model.pressureLimit((double) serving.task.phase.spec.tailObjectiveMs())
        - Math.max(0, ownPressure);
  }

  /** Returns the number of fill images that disturb a serving task of the worker. */
  int countDisturbingImages(WorkerState worker) {
    int count = 0;
    for (int feature : fillFeatures.values()) {
      for (Run run : worker.runs.values()) {
        ServingImage model = servingImages.get(run.task.phase.imageKey);
        if (run.task.phase.spec.tailObjectiveMs() > 0
            && model != null
            && model.isDisturbedBy(feature)) {
          count++;
          break;
        }
      }
    }
    return count;
  }

  /**
   * Returns the total pressure above the limits of a worker's serving tasks, at their peak load, if
   * one more fill task ran on the worker; 0 if they stay within their limits.
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
    ServingImage model = servingImages.get(image);
    double limit = 1;
    for (Run run : serving) {
      double objectiveMs = (double) run.task.phase.spec.tailObjectiveMs();
      limit = model == null ? limit : Math.min(limit, model.pressureLimit(objectiveMs));
    }
    return new ServingGroup(image, serving.size(), pressure, limit);
  }
}
