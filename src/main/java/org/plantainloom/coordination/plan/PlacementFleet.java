package org.plantainloom.coordination.plan;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkloadKind;

/**
 * All workers during one planning round, and the choice among them.
 *
 * <p>Workers are kept in the order of their names, so equal scores give the same choice each time.
 */
public final class PlacementFleet {
  private final PlacementPolicy policy;
  private final Map<WorkerId, FleetWorker> byId = new TreeMap<>();
  private final Map<String, Spread> spreads = new HashMap<>();

  /** Creates a fleet without workers. */
  public PlacementFleet(PlacementPolicy policy) {
    this.policy = policy;
  }

  /** Adds a worker with nothing on it. */
  public void add(FleetWorker worker) {
    byId.put(worker.info().id(), worker);
  }

  /** Returns the worker of that name. */
  public Optional<FleetWorker> worker(WorkerId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns all workers, ordered by name. */
  public Collection<FleetWorker> workers() {
    return byId.values();
  }

  /** Takes resources on a worker for a task; unknown workers are ignored. */
  public void reserve(WorkerId id, TaskId task, TaskLaunch launch) {
    FleetWorker worker = byId.get(id);
    if (worker == null) {
      return;
    }
    worker.reserve(launch.size());
    if (launch.kind() == WorkloadKind.SERVICE) {
      spreadOf(task).add(worker.info());
    }
  }

  private Spread spreadOf(TaskId task) {
    return spreads.computeIfAbsent(Planner.serviceKey(task), k -> new Spread());
  }

  /** Chooses a worker with room for the task. */
  public Optional<FleetWorker> choose(
      TaskId task, TaskLaunch launch, Collection<WorkerId> avoided) {
    Optional<Spread> spread =
        launch.kind() == WorkloadKind.SERVICE ? Optional.of(spreadOf(task)) : Optional.empty();
    FleetWorker best = null;
    double bestScore = Double.MAX_VALUE;
    for (FleetWorker worker : byId.values()) {
      boolean eligible =
          worker.isUsable()
              && launch.size().fitsIn(worker.free())
              && (avoided.isEmpty() || !avoided.contains(worker.info().id()));
      if (!eligible) {
        continue;
      }
      ResourceVector left = worker.free().minus(launch.size());
      double fit = policy.score(worker.info().capacity(), left, launch.size());
      double score = spread.isPresent() ? spread.get().crowding(worker.info()) + fit : fit;
      if (score < bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether any worker of the fleet could hold the size if it were empty. */
  public boolean couldHold(ResourceVector size) {
    return byId.values().stream().anyMatch(w -> size.fitsIn(w.info().capacity()));
  }
}
