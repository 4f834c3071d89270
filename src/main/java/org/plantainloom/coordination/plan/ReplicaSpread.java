package org.plantainloom.coordination.plan;

import java.util.HashMap;
import java.util.Map;
import org.plantainloom.state.RackId;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.ZoneName;

/** Counts the replicas of one service by availability zone, rack and worker. */
final class ReplicaSpread {
  // Spreading outweighs the placement score: a shared zone costs more than a shared rack, a shared
  // rack more than a shared worker.
  private static final double SAME_ZONE_PENALTY = 1_000_000;
  private static final double SAME_RACK_PENALTY = 10_000;
  private static final double SAME_WORKER_PENALTY = 1_000;

  private final Map<ZoneName, Integer> byZone = new HashMap<>();
  private final Map<RackId, Integer> byRack = new HashMap<>();
  private final Map<WorkerId, Integer> byWorker = new HashMap<>();

  void add(WorkerInfo worker) {
    byZone.merge(worker.zone(), 1, Integer::sum);
    byRack.merge(worker.rack(), 1, Integer::sum);
    byWorker.merge(worker.id(), 1, Integer::sum);
  }

  /** Returns the penalty for placing another replica on a worker; lower is better. */
  double colocationPenalty(WorkerInfo worker) {
    return SAME_ZONE_PENALTY * byZone.getOrDefault(worker.zone(), 0)
        + SAME_RACK_PENALTY * byRack.getOrDefault(worker.rack(), 0)
        + SAME_WORKER_PENALTY * byWorker.getOrDefault(worker.id(), 0);
  }
}
