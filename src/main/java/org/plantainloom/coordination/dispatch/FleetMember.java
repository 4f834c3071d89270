package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * A worker as it is stored for the next owner.
 *
 * @param entry its registration
 * @param possibleTasks for a worker that does not answer, all tasks that it may still run; nothing
 *     is started on it until it has answered and has been stored again
 */
public record FleetMember(WorkerRegistration entry, Optional<List<TaskKey>> possibleTasks) {
  /** Returns whether the next owner would treat both alike. */
  boolean isEquivalentTo(FleetMember other) {
    return entry.draining() == other.entry.draining()
        && possibleTasks.isPresent() == other.possibleTasks.isPresent();
  }
}
