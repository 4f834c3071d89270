package org.plantainloom.state;

import java.util.List;
import java.util.Optional;

/**
 * A worker's answer to a control message.
 *
 * @param worker the worker
 * @param generation the VM that answers
 * @param fencingEpoch highest rack epoch it has seen
 * @param accepted whether the orders were taken
 * @param tasks every incarnation it knows of
 */
public record WorkerReport(
    WorkerId worker, long generation, long fencingEpoch, boolean accepted, List<TaskReport> tasks) {
  /** Creates the report with a copy of its list. */
  public WorkerReport {
    tasks = List.copyOf(tasks);
  }

  /** Returns what is said of an incarnation. */
  public Optional<TaskReport> task(TaskRef ref) {
    return tasks.stream().filter(t -> t.ref().equals(ref)).findFirst();
  }
}
