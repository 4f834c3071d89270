package org.plantainloom.support;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.RackId;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.ZoneName;

/** Builds workers for tests. */
public final class Fleets {
  private static final int CORES_MILLIS = 32_000;
  private static final int MEMORY_MB = 125 * 1024;

  private Fleets() {}

  /** Returns a worker of the usual size in a rack of its zone. */
  public static WorkerInfo worker(
      String zone, String region, int rack, int index, int accelerators) {
    return new WorkerInfo(
        new WorkerId(zone + "-w" + index),
        new RackId(zone + "-r" + rack),
        new ZoneName(zone),
        region,
        "127.0.0.1:" + (1 + index),
        1,
        new ResourceVector(CORES_MILLIS, MEMORY_MB, accelerators),
        8,
        64,
        false);
  }

  /** Returns the workers of a zone, {@code perRack} to a rack. */
  public static List<WorkerInfo> zone(String zone, String region, int workers, int perRack) {
    List<WorkerInfo> all = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      all.add(worker(zone, region, i / perRack, i, 0));
    }
    return all;
  }
}
