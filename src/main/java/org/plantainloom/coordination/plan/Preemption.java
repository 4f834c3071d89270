package org.plantainloom.coordination.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.Priority;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkloadKind;

/** Evicts normal batch tasks to make room for an urgent task or a replica. */
final class Preemption {
  private final Planner planner;
  private final PlacementFleet fleet;

  Preemption(Planner planner, PlacementFleet fleet) {
    this.planner = planner;
    this.fleet = fleet;
  }

  /**
   * Marks tasks for eviction on the worker that needs the fewest evictions, and reserves the freed
   * resources for the task.
   */
  void makeRoom(TaskRecord task, TaskLaunch launch) {
    if (isEvictionPending(task)) {
      return;
    }
    Map<WorkerId, List<Commitment>> victimsByWorker = victimsByWorker();
    Optional<Eviction> cheapest = Optional.empty();
    for (FleetWorker worker : fleet.workers()) {
      if (!worker.isUsable() || task.avoided().contains(worker.info().id())) {
        continue;
      }
      List<Commitment> candidates = victimsByWorker.getOrDefault(worker.info().id(), List.of());
      Optional<Eviction> eviction = evictionOn(worker, candidates, launch.size());
      if (eviction.isPresent()
          && (cheapest.isEmpty() || eviction.get().cost() < cheapest.get().cost())) {
        cheapest = eviction;
      }
    }
    cheapest.ifPresent(e -> evict(e, task, launch));
  }

  // A task causes no further evictions until the worker has confirmed the stops of the earlier
  // ones; only then are their resources free.
  private boolean isEvictionPending(TaskRecord task) {
    return planner.evictedFor().containsValue(task.id().toString());
  }

  private Map<WorkerId, List<Commitment>> victimsByWorker() {
    Map<WorkerId, List<Commitment>> victims = new HashMap<>();
    for (RackStatus status : planner.statuses()) {
      for (CommitmentStatus entry : status.commitments()) {
        Commitment commitment = entry.commitment();
        if (isVictim(commitment)) {
          victims.computeIfAbsent(commitment.worker(), w -> new ArrayList<>()).add(commitment);
        }
      }
    }
    // Evicting the tasks with the least progress loses the least work.
    victims.values().forEach(v -> v.sort(Comparator.comparingLong(Commitment::checkpoint)));
    return victims;
  }

  private boolean isVictim(Commitment commitment) {
    return commitment.launch().kind() == WorkloadKind.BATCH
        && !planner.evictedFor().containsKey(commitment.ref())
        && planner
            .teamStateOf(commitment.ref().task().team())
            .filter(q -> q.priorityOf(commitment.ref().task()) == Priority.NORMAL)
            .isPresent();
  }

  private static Optional<Eviction> evictionOn(
      FleetWorker worker, List<Commitment> candidates, ResourceVector size) {
    ResourceVector free = worker.free();
    List<Commitment> chosen = new ArrayList<>();
    for (Commitment candidate : candidates) {
      if (size.fitsIn(free)) {
        break;
      }
      chosen.add(candidate);
      free = free.plus(candidate.launch().size());
    }
    return size.fitsIn(free) ? Optional.of(new Eviction(worker, chosen)) : Optional.empty();
  }

  private void evict(Eviction eviction, TaskRecord task, TaskLaunch launch) {
    for (Commitment victim : eviction.victims()) {
      planner.evictedFor().put(victim.ref(), task.id().toString());
      eviction.worker().release(victim.launch().size());
      planner.emit(EventKind.TASK_STOPPING, victim.ref(), "evicted for " + task.id());
    }
    fleet.reserve(eviction.worker().info().id(), task.id(), launch);
  }

  private record Eviction(FleetWorker worker, List<Commitment> victims) {
    int cost() {
      return victims.size();
    }
  }
}
