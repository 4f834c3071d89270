package org.plantainloom.state;

import java.util.List;
import java.util.Optional;

/**
 * A worker's response to a control message.
 *
 * @param worker the worker
 * @param generation generation of the responding VM
 * @param fencingEpoch highest rack epoch it has seen
 * @param accepted whether it accepted the commands
 * @param tasks all incarnations it knows of
 */
public record WorkerReport(
    WorkerId worker, long generation, long fencingEpoch, boolean accepted, List<TaskReport> tasks) {
  /** Creates the report with a copy of its list. */
  public WorkerReport {
    tasks = List.copyOf(tasks);
  }

  /** Returns the report on an incarnation. */
  public Optional<TaskReport> task(TaskRef ref) {
    return tasks.stream().filter(t -> t.ref().equals(ref)).findFirst();
  }
}
