package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.state.job.TaskKey;

/** The scheduler's view of a task that has been started, or may have been. */
final class TaskState {
  /** Delay before a failed task runs again, so that a broken worker is detected first. */
  private static final long RETRY_DELAY_MS = 50;

  /**
   * Longest delay. Together with the start it has to stay well below the 6 s from its last run
   * after which the platform expects a lasting task to run.
   */
  static final long MAX_RETRY_DELAY_MS = 3_000;

  /** A run that fails later than this is no sign that the next one fails, too. */
  private static final long EARLY_FAILURE_MS = 2_000;

  /** Early failures in a row from which on a task is expected to fail again. */
  private static final int FAILURES_BEFORE_EXPECTED = 2;

  final TaskKey key;
  final PhaseState phase;
  final List<Run> runs = new ArrayList<>(1);

  /** Numbers of the failed runs that are stored; none for a task that lasts. */
  final List<Long> failures = new ArrayList<>(0);

  String checkpoint = "";
  long lastRunNumber;

  /** What this owner took the last run for; empty if it knows of none that is over. */
  Optional<RunConclusion> lastConclusion = Optional.empty();

  /** Earliest time of the next start. */
  long notBeforeMs;

  /** The worker on which it has failed last; null if it has not. */
  WorkerState lastFailedOn;

  private int earlyFailures;
  private long lastFailedRun;

  /** Unreachable workers on which previous owners may have started the task. */
  private Set<WorkerState> possibleWorkers = Set.of();

  TaskState(TaskKey key, PhaseState phase) {
    this.key = key;
    this.phase = phase;
  }

  /** Keeps this state until the task is over. */
  void track() {
    phase.track(this);
  }

  /** Returns whether a run of the task, or of its gang, has succeeded. */
  boolean isDone() {
    return phase.isDone(key.index());
  }

  boolean isPending() {
    return !isDone() && runs.isEmpty() && !isHeldBack();
  }

  /** Holds the task back, as a worker that does not answer may run it. */
  void holdFor(WorkerState worker) {
    track();
    if (possibleWorkers.isEmpty()) {
      possibleWorkers = new HashSet<>();
    }
    possibleWorkers.add(worker);
  }

  /** Handles that a worker does not run the task for a previous owner. */
  void releaseFrom(WorkerState worker) {
    if (isHeldBack()) {
      possibleWorkers.remove(worker);
    }
  }

  /** Returns whether a worker that does not answer may run it for a previous owner. */
  boolean isHeldBack() {
    return !possibleWorkers.isEmpty();
  }

  /** Returns whether it is pending and may start now. */
  boolean isWaiting(long nowMs) {
    return isPending() && notBeforeMs <= nowMs;
  }

  /** Returns whether it has a run, or may have one on a worker that does not answer. */
  boolean mayRun() {
    return !runs.isEmpty() || isHeldBack();
  }

  /** Returns whether the task is pending, or would be if a worker did not run it. */
  boolean isPendingUnlessOn(WorkerState worker) {
    return !isDone()
        && runs.isEmpty()
        && possibleWorkers.stream().allMatch(possible -> possible == worker);
  }

  /** Records a failed run; returns false if it was already recorded. */
  boolean addFailure(long run) {
    if (run == lastFailedRun || failures.contains(run)) {
      return false;
    }
    lastFailedRun = run;
    if (!phase.spec.lasting()) {
      failures.add(run);
    }
    return true;
  }

  /**
   * Delays the next start after a failure, for twice as long after each early one. The delay of a
   * task that fails once is short, as it may be the worker's fault.
   *
   * @param ranMs for how long the failed run has lasted
   */
  void delayRetry(WorkerState worker, long ranMs, long nowMs) {
    lastFailedOn = worker;
    earlyFailures = ranMs < EARLY_FAILURE_MS ? earlyFailures + 1 : 1;
    long delayMs = RETRY_DELAY_MS << Math.min(earlyFailures - 1, 10);
    notBeforeMs = nowMs + Math.min(delayMs, MAX_RETRY_DELAY_MS);
  }

  /** Returns whether its last runs have failed early, one after the other. */
  boolean keepsFailing() {
    return earlyFailures >= FAILURES_BEFORE_EXPECTED;
  }
}
