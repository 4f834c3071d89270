package org.plantainloom.support;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.RackId;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.ZoneName;

/** Test data: workers and the workers of whole zones. */
public final class Fleets {
  private static final int CPU_MILLICORES = 32_000;
  private static final int MEMORY_MB = 125 * 1024;

  private Fleets() {}

  /** Returns a worker with 32 cores and 125 GiB of memory in the given rack of a zone. */
  public static WorkerInfo worker(
      String zone, String region, int rack, int index, int accelerators) {
    return new WorkerInfo(
        new WorkerId(zone + "-w" + index),
        new RackId(zone + "-r" + rack),
        new ZoneName(zone),
        region,
        "127.0.0.1:" + (1 + index),
        1,
        new ResourceVector(CPU_MILLICORES, MEMORY_MB, accelerators),
        8,
        64,
        false);
  }

  /** Returns the workers of a zone, with {@code workersPerRack} workers in each rack. */
  public static List<WorkerInfo> zone(
      String zone, String region, int workerCount, int workersPerRack) {
    List<WorkerInfo> workers = new ArrayList<>();
    for (int i = 0; i < workerCount; i++) {
      workers.add(worker(zone, region, i / workersPerRack, i, 0));
    }
    return workers;
  }
}
