package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * On which workers the runs of a job's phase have failed lately, and whether they hold elsewhere.
 */
final class FailureHistory {
  /** Sound workers on which all runs of a job have failed before the job is to blame. */
  static final int WORKERS_BEFORE_BLAMED = 3;

  /** Failures that are further apart say nothing about one another. */
  private static final long MEMORY_MS = 30_000;

  /** Time in which the end of a run is known for certain, if its worker answers. */
  private static final long NOTICE_MS = 500;

  final String jobId;
  private final List<String> workers = new ArrayList<>(0);
  private OptionalLong succeededMs = OptionalLong.empty();
  private long lastFailureMs;
  private long longestRunMs;
  private boolean blamed;
  private long blamedSinceMs;

  FailureHistory(String jobId) {
    this.jobId = jobId;
  }

  /** Returns whether the job fails wherever it runs, so that no worker is to blame for that. */
  boolean isJobBlamed() {
    return blamed;
  }

  /** Returns whether that has been so for long enough to act on it. */
  boolean isBlameCertain(long nowMs) {
    return blamed && nowMs - blamedSinceMs >= NOTICE_MS;
  }

  /** Returns the first sound workers on which runs have failed. */
  List<String> workers() {
    return workers;
  }

  /**
   * Records a failed run.
   *
   * @param ranMs how long it has lasted
   */
  void add(long ranMs, long nowMs) {
    if (nowMs - lastFailureMs > MEMORY_MS) {
      clear();
    }
    lastFailureMs = nowMs;
    longestRunMs = Math.max(longestRunMs, ranMs);
  }

  /** Records that the last failure was on a worker on which no other job fails. */
  void addWorker(String workerId) {
    if (workers.size() < WORKERS_BEFORE_BLAMED && !workers.contains(workerId)) {
      workers.add(workerId);
    }
  }

  /**
   * Judges the job, after a failure, by its other runs. One that is as old as those that failed may
   * hold, so that the job is not to blame yet; one that has outlived them all clears the job.
   */
  void judge(Iterable<Run> otherRuns, long nowMs) {
    long oldestMs = 0;
    for (Run run : otherRuns) {
      if (run.stage == Run.Stage.RUNNING && !run.worker.unreachable) {
        oldestMs = Math.max(oldestMs, nowMs - run.startSentMs);
      }
    }
    if (blamed && oldestMs > 2 * longestRunMs + NOTICE_MS) {
      clear();
    }
    boolean succeeded = succeededMs.isPresent() && nowMs - succeededMs.getAsLong() <= MEMORY_MS;
    if (!blamed && !succeeded && workers.size() >= WORKERS_BEFORE_BLAMED) {
      blamed = oldestMs < longestRunMs;
      blamedSinceMs = nowMs;
    }
  }

  /** Handles the success of a run: the job does not fail wherever it runs. */
  void succeeded(long nowMs) {
    succeededMs = OptionalLong.of(nowMs);
    clear();
  }

  private void clear() {
    workers.clear();
    longestRunMs = 0;
    blamed = false;
  }
}
