package org.plantainloom.coordination.plan;

import java.util.Collection;
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
public final class Fleet {
  private final PlacementPolicy policy;
  private final Map<WorkerId, FleetWorker> byId = new TreeMap<>();
  private final Spread spread = new Spread();

  /** Creates a fleet without workers. */
  public Fleet(PlacementPolicy policy) {
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
  public void take(WorkerId id, TaskId task, TaskLaunch launch) {
    FleetWorker worker = byId.get(id);
    if (worker == null) {
      return;
    }
    worker.take(task, launch.kind(), launch.size());
    if (launch.kind() == WorkloadKind.SERVICE) {
      spread.add(task, worker.info());
    }
  }

  /** Chooses a worker with room for the task. */
  public Optional<FleetWorker> choose(
      TaskId task, TaskLaunch launch, Collection<WorkerId> avoided) {
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
      double score = score(worker, task, launch);
      if (score < bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  private double score(FleetWorker worker, TaskId task, TaskLaunch launch) {
    ResourceVector left = worker.free().minus(launch.size());
    double fit = policy.score(worker.info().capacity(), left, launch.size());
    if (launch.kind() == WorkloadKind.BATCH) {
      return fit;
    }
    return SAME_ZONE * spread.inZone(task, worker.info())
        + SAME_RACK * spread.inRack(task, worker.info())
        + SAME_WORKER * worker.replicasOf(task)
        + fit;
  }

  // Spreading outweighs fitting: a zone counts more than a rack, a rack more than a worker.
  private static final double SAME_ZONE = 1_000_000;
  private static final double SAME_RACK = 10_000;
  private static final double SAME_WORKER = 1_000;

  /** Returns whether any worker of the fleet could hold the size if it were empty. */
  public boolean couldHold(ResourceVector size) {
    return byId.values().stream().anyMatch(w -> size.fitsIn(w.info().capacity()));
  }
}
