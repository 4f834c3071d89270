package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns which fill images raise the tail latency of which serving images, and by how much.
 *
 * <p>Interference depends on the pair of images, and most pairs do not interfere at all. Limiting
 * every fill task beside a slow serving task would therefore waste most of the idle processor time.
 * The slack of a serving task is
 *
 * <pre>{@code slack = objective / tail latency}</pre>
 *
 * <p>It is 1 at the objective and larger below it. As the tail latency is that of a queue, slack
 * falls linearly with the load: with the task's own, and with the share of the worker's processors
 * that each disturbing fill image uses times the coefficient of the pair.
 *
 * <p>Load pattern: a task's own load changes within seconds, the use of the processors by fill
 * tasks within half a second. So coefficients are learned from the changes of slack between two
 * polls of the same task when fill tasks start, end or are limited.
 */
final class InterferenceModel {
  /** Distance that CPU limits keep from the objective, for changes until the next poll. */
  private static final double LIMIT_MARGIN = 0.25;

  /** Distance that placements keep from the objective at the expected peak. */
  private static final double PLACEMENT_MARGIN = 0.1;

  /** Changes over a longer time are mostly due to the task's own load. */
  private static final long MAX_CHANGE_MS = 1_300;

  /** Smaller changes of the processors' use say nothing. */
  private static final double MIN_USE_CHANGE = 0.01;

  /** Share of the swing by which slack may fall while a fill task of some seconds runs. */
  private static final double FALL_WITHIN_RUN = 1.2;

  /** A possible loss below this leaves a sample of the undisturbed slack usable. */
  private static final double UNDISTURBED_LOSS = 0.15;

  private final Map<String, ServingImage> servingImages = new HashMap<>();
  private final Map<String, Integer> fillFeatures = new HashMap<>();

  /** Undisturbed slack over all images, used while little is known of an image. */
  private final OwnSlack anyImage = new OwnSlack();

  private int feature(String fillImage) {
    return fillFeatures.computeIfAbsent(fillImage, image -> fillFeatures.size());
  }

  private ServingImage servingImage(PhaseState serving) {
    return servingImages.computeIfAbsent(serving.imageKey, key -> new ServingImage());
  }

  static boolean isServing(Run run) {
    return run.task.phase.spec.tailObjectiveMs() > 0
        && run.recentMeasurement >= 0
        && run.progressPercent == 100
        && !run.isStopping();
  }

  /** Returns the slack of a serving task as measured last. */
  static double slack(Run serving) {
    return (double) serving.task.phase.spec.tailObjectiveMs()
        / Math.max(1, serving.recentMeasurement);
  }

  /** Learns from a fresh poll of a worker. */
  void observe(WorkerState worker, long nowMs) {
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu()) {
        feature(run.task.phase.imageKey);
      }
    }
    double[] before = worker.fillUse.lastUse();
    long elapsedMs = nowMs - worker.fillUse.asOfMs();
    double[] use = worker.fillUse.update(worker, this::feature, fillFeatures.size(), nowMs);
    double[] change = use.clone();
    for (int i = 0; i < before.length; i++) {
      change[i] -= before[i];
    }
    boolean informative =
        elapsedMs <= MAX_CHANGE_MS
            && Arrays.stream(change).anyMatch(c -> Math.abs(c) >= MIN_USE_CHANGE);
    Map<PhaseState, ServingGroup> groups = servingGroups(worker);
    groups.forEach(
        (phase, group) -> {
          ServingImage image = servingImage(phase);
          ServingGroup last = worker.servingGroups.get(phase);
          if (informative && last != null) {
            image.observeChange(change, last.slack, group.slack, elapsedMs);
          }
          group.ownSlack = group.slack + image.likelyLoss(use);
          boolean undisturbed =
              image.mayLose(use) < UNDISTURBED_LOSS && image.mayLose(before) < UNDISTURBED_LOSS;
          if (undisturbed) {
            image.own.observe(group.slack);
            anyImage.observe(group.slack);
          }
        });
    worker.servingGroups = groups;
  }

  private static Map<PhaseState, ServingGroup> servingGroups(WorkerState worker) {
    Map<PhaseState, ServingGroup> groups = new HashMap<>();
    for (Run run : worker.runs.values()) {
      if (isServing(run)) {
        ServingGroup group = groups.computeIfAbsent(run.task.phase, phase -> new ServingGroup());
        group.tasks++;
        group.slack += (slack(run) - group.slack) / group.tasks;
      }
    }
    return groups;
  }

  private static double share(double cpuMillis, WorkerState worker) {
    return cpuMillis / Math.max(1, worker.registration.capacity().cpuMillis());
  }

  /** Returns the slack that a run of a fill task without a CPU limit takes from a serving task. */
  double unlimitedLoss(Run serving, PhaseState fill, WorkerState worker) {
    return servingImage(serving.task.phase).likelyCoefficient(feature(fill.imageKey))
        * share(fill.spec.need().cpuMillis(), worker);
  }

  /** Returns the slack that fill tasks may currently take from a serving task. */
  double remainingSlack(Run serving, WorkerState worker) {
    ServingGroup group = worker.servingGroups.get(serving.task.phase);
    return group == null ? 0 : group.ownSlack - 1 - LIMIT_MARGIN;
  }

  /** Returns the number of fill images that disturb a serving task of the worker. */
  int countDisturbingImages(WorkerState worker) {
    int count = 0;
    for (int feature : fillFeatures.values()) {
      for (Run run : worker.runs.values()) {
        if (run.task.phase.spec.tailObjectiveMs() > 0
            && servingImage(run.task.phase).likelyCoefficient(feature) > 0) {
          count++;
          break;
        }
      }
    }
    return count;
  }

  /**
   * Returns the total slack that a worker's serving tasks would lack at their expected peak load,
   * if one more fill task ran on the worker; 0 if all stay within their objectives.
   */
  double overload(PhaseState fill, WorkerState worker, long nowMs) {
    int feature = feature(fill.imageKey);
    double share = share(fill.spec.need().cpuMillis(), worker);
    double total = 0;
    for (ServingSlack serving : worker.servingSlacks(nowMs, this::servingSlacks)) {
      double loss = serving.image().cautiousCoefficient(feature) * share;
      total += serving.tasks() * Math.max(0, loss - Math.max(0, serving.remaining()));
    }
    return total;
  }

  private List<ServingSlack> servingSlacks(WorkerState worker) {
    Map<PhaseState, Integer> tasks = new HashMap<>();
    double[] fullUse = new double[fillFeatures.size()];
    for (Run run : worker.runs.values()) {
      PhaseState phase = run.task.phase;
      if (phase.spec.tailObjectiveMs() > 0) {
        tasks.merge(phase, 1, Integer::sum);
      } else if (phase.spec.fillsIdleCpu() && fillFeatures.containsKey(phase.imageKey)) {
        fullUse[feature(phase.imageKey)] += share(phase.spec.need().cpuMillis(), worker);
      }
    }
    List<ServingSlack> slacks = new ArrayList<>(tasks.size());
    tasks.forEach(
        (phase, count) -> {
          ServingImage image = servingImage(phase);
          double remaining =
              expectedPeakSlack(worker.servingGroups.get(phase), image)
                  - image.mayLose(fullUse)
                  - 1
                  - PLACEMENT_MARGIN;
          slacks.add(new ServingSlack(image, count, remaining));
        });
    return slacks;
  }

  /**
   * Returns the lowest undisturbed slack that is expected within the run time of a fill task.
   *
   * @param group the serving tasks as of the last poll; null if they do not serve yet
   */
  private double expectedPeakSlack(ServingGroup group, ServingImage image) {
    OwnSlack own = image.own.isKnown() ? image.own : anyImage;
    if (!own.isKnown()) {
      return 1;
    }
    if (group == null) {
      return own.floor();
    }
    double floor = Math.min(own.floor(), group.ownSlack);
    return Math.max(floor, group.ownSlack - FALL_WITHIN_RUN * own.swing());
  }
}
