package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.state.job.TaskKey;

/** The scheduler's view of a task that has been started, or may have been. */
final class TaskState {
  final TaskKey key;
  final PhaseState phase;
  final List<Run> runs = new ArrayList<>(1);
  final List<Long> failures = new ArrayList<>(0);

  String checkpoint = "";
  long lastRunNumber;

  /** What this owner took the last run for; empty if it knows of none that is over. */
  Optional<RunConclusion> lastConclusion = Optional.empty();

  /** Earliest time of the next start. */
  long notBeforeMs;

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
    if (failures.contains(run)) {
      return false;
    }
    failures.add(run);
    return true;
  }
}
