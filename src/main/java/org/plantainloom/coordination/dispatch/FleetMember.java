package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
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
  /**
   * Returns whether the next owner may rely on a stored entry: it treats the worker alike, and
   * holds back at least the tasks that the worker may run now.
   */
  boolean isCoveredBy(FleetMember stored) {
    return entry.draining() == stored.entry.draining()
        && possibleTasks.isPresent() == stored.possibleTasks.isPresent()
        && possibleTasks.stream()
            .allMatch(tasks -> Set.copyOf(stored.possibleTasks.get()).containsAll(tasks));
  }
}
