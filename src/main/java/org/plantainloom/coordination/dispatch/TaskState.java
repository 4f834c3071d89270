package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.job.TaskKey;

/** What the scheduler knows of a task. */
final class TaskState {
  final TaskKey key;
  final PhaseState phase;
  final List<Run> runs = new ArrayList<>(1);
  final List<Long> failures = new ArrayList<>(0);
  boolean done;
  String checkpoint = "";
  long lastRunNumber;
  long notBeforeMs;

  /** A silent worker on which a former owner may have started it; null if there is none. */
  WorkerState possibleWorker;

  TaskState(TaskKey key, PhaseState phase) {
    this.key = key;
    this.phase = phase;
  }

  boolean isPending() {
    return !done && runs.isEmpty() && possibleWorker == null;
  }

  /** Takes note of a failed run; false if it was known. */
  boolean addFailure(long run) {
    if (failures.contains(run)) {
      return false;
    }
    failures.add(run);
    return true;
  }
}
