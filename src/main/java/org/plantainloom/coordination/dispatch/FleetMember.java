package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerEntry;

/**
 * A worker as a later owner has to know it.
 *
 * @param entry its registration
 * @param possibleTasks all tasks that it may run, if it does not answer; nothing is started there
 *     until it answers and is listed anew
 */
public record FleetMember(WorkerEntry entry, Optional<List<TaskKey>> possibleTasks) {
  /** Returns whether a later owner would treat both alike. */
  boolean isEquivalentTo(FleetMember other) {
    return entry.draining() == other.entry.draining()
        && possibleTasks.isPresent() == other.possibleTasks.isPresent();
  }
}
