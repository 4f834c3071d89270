package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.plantainloom.state.job.TaskKey;

/**
 * Share of one worker's processors that each fill image used over the time that the worker's
 * measurements cover.
 *
 * <p>A tail latency covers the last half second, so it still shows fill tasks that have ended
 * since. The worker does not list these any more; leaving them out would make an image look
 * harmless.
 */
final class FillUseTracker {
  /** Time that a measurement covers. */
  private static final long WINDOW_MS = 500;

  private Map<TaskKey, Use> running = Map.of();
  private final List<Ended> ended = new ArrayList<>();
  private double[] lastUse = {};
  private long asOfMs;

  /** A fill task's image and its share of the processors. */
  private record Use(int feature, double share) {}

  private record Ended(Use use, long endMs) {}

  /** Returns the use as of the last poll, by feature. */
  double[] lastUse() {
    return lastUse;
  }

  /** Returns the time of the last poll. */
  long asOfMs() {
    return asOfMs;
  }

  /**
   * Takes account of a poll and returns the use by feature.
   *
   * @param feature returns the feature of a fill image
   * @param features number of features, also of those that are not on this worker
   */
  double[] update(WorkerState worker, ToIntFunction<String> feature, int features, long nowMs) {
    Map<TaskKey, Use> current = new HashMap<>();
    double cores = Math.max(1, worker.registration.capacity().cpuMillis());
    double[] use = new double[features];
    for (Run run : worker.runs.values()) {
      if (run.task.phase.spec.fillsIdleCpu()) {
        double share = Math.max(0, run.recentMeasurement) / cores;
        int index = feature.applyAsInt(run.task.phase.imageKey);
        use[index] += share;
        current.put(run.task.key, new Use(index, share));
      }
    }
    running.forEach(
        (key, past) -> {
          if (!current.containsKey(key)) {
            ended.add(new Ended(past, nowMs));
          }
        });
    ended.removeIf(end -> nowMs - end.endMs() >= WINDOW_MS);
    for (Ended end : ended) {
      double covered = 1 - (nowMs - end.endMs()) / (double) WINDOW_MS;
      use[end.use().feature()] += end.use().share() * covered;
    }
    running = current;
    lastUse = use;
    asOfMs = nowMs;
    return use;
  }
}
