package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * A worker as it is stored for the next owner.
 *
 * @param entry its registration
 * @param possibleTasks for a worker that does not answer, all tasks that it may still run; nothing
 *     is started on it until it has answered and has been stored again
 * @param silent whether it does not answer; no owner renews its lease until it has been stored
 *     again
 * @param leaseEndMs for a silent worker, when its lease has ended for certain, on this process's
 *     monotonic clock, if known
 * @param leaseEnd the same on the clocks of the owner that stored it; empty at that owner, or if it
 *     is not known
 */
public record FleetMember(
    WorkerRegistration entry,
    Optional<List<TaskKey>> possibleTasks,
    boolean silent,
    OptionalLong leaseEndMs,
    Optional<OwnerTime> leaseEnd) {
  /** Creates a worker as its owner stores it. */
  public FleetMember(
      WorkerRegistration entry,
      Optional<List<TaskKey>> possibleTasks,
      boolean silent,
      OptionalLong leaseEndMs) {
    this(entry, possibleTasks, silent, leaseEndMs, Optional.empty());
  }

  /** Creates a worker whose lease may be renewed. */
  public FleetMember(WorkerRegistration entry, Optional<List<TaskKey>> possibleTasks) {
    this(entry, possibleTasks, false, OptionalLong.empty());
  }

  /** Returns this worker as one that does not answer. */
  FleetMember silentUntil(long newLeaseEndMs) {
    return new FleetMember(entry, possibleTasks, true, OptionalLong.of(newLeaseEndMs));
  }

  /**
   * Returns whether the next owner may rely on a stored entry: it treats the worker alike, holds
   * back at least the tasks that the worker may run now, and waits for its lease.
   */
  boolean isCoveredBy(FleetMember stored) {
    return entry.draining() == stored.entry.draining()
        && silent == stored.silent
        && possibleTasks.isPresent() == stored.possibleTasks.isPresent()
        && possibleTasks.stream()
            .allMatch(tasks -> Set.copyOf(stored.possibleTasks.get()).containsAll(tasks))
        && leaseEndMs.orElse(Long.MIN_VALUE) <= stored.leaseEndMs.orElse(Long.MAX_VALUE);
  }
}
