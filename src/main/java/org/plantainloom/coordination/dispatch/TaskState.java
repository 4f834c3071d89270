package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.state.job.TaskKey;

/** The scheduler's view of a task. */
final class TaskState {
  final TaskKey key;
  final PhaseState phase;
  final List<Run> runs = new ArrayList<>(1);
  final List<Long> failures = new ArrayList<>(0);

  /** Whether a run of the task, or of its gang, has succeeded. */
  boolean done;

  /** For a task that lasts, whether it has run. It goes before tasks that did not have its room. */
  boolean begun;

  String checkpoint = "";
  long lastRunNumber;

  /** What this owner took the last run for; empty if it knows of none that is over. */
  Optional<RunConclusion> lastConclusion = Optional.empty();

  /** Earliest time of the next start. */
  long notBeforeMs;

  /** Unreachable workers on which previous owners may have started the task. */
  final Set<WorkerState> possibleWorkers = new HashSet<>(0);

  TaskState(TaskKey key, PhaseState phase) {
    this.key = key;
    this.phase = phase;
  }

  boolean isPending() {
    return !done && runs.isEmpty() && possibleWorkers.isEmpty();
  }

  /** Returns whether the task is pending, or would be if a worker did not run it. */
  boolean isPendingUnlessOn(WorkerState worker) {
    return !done
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
