package org.plantainloom.coordination.plan;

import java.util.HashMap;
import java.util.Map;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.WorkerInfo;

/** Counts the replicas of each service by zone and rack, for spreading. */
final class Spread {
  private final Map<Place, Integer> counts = new HashMap<>();

  private record Place(String service, Object where) {}

  void add(TaskId task, WorkerInfo worker) {
    String service = FleetWorker.serviceKey(task);
    counts.merge(new Place(service, worker.zone()), 1, Integer::sum);
    counts.merge(new Place(service, worker.rack()), 1, Integer::sum);
  }

  int inZone(TaskId task, WorkerInfo worker) {
    return counts.getOrDefault(new Place(FleetWorker.serviceKey(task), worker.zone()), 0);
  }

  int inRack(TaskId task, WorkerInfo worker) {
    return counts.getOrDefault(new Place(FleetWorker.serviceKey(task), worker.rack()), 0);
  }
}
