package org.plantainloom.program.experiment;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.RackId;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.ZoneName;

/**
 * Creates a VM list with the proportions of the target fleet: racks of 8 workers in seven
 * availability zones, some workers with accelerators.
 */
final class SimulatedFleet {
  private static final int WORKERS_PER_RACK = 8;
  private static final int ZONES = 7;
  private static final int ACCELERATORS_PER_WORKER = 4;

  private SimulatedFleet() {}

  static VmListing ofSize(int workers) {
    List<WorkerInfo> all = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      int rack = i / WORKERS_PER_RACK;
      // 13 of 30 workers have 4 accelerators each: 1,300 accelerators on 750 workers
      boolean accelerated = i % 30 < 13;
      all.add(
          new WorkerInfo(
              new WorkerId("w" + i),
              new RackId("r" + rack),
              new ZoneName("z" + rack % ZONES),
              "region-" + rack % ZONES % 3,
              "none:1",
              1,
              new ResourceVector(32_000, 125 * 1_024, accelerated ? ACCELERATORS_PER_WORKER : 0),
              8,
              64,
              false));
    }
    return VmListing.of(1, all);
  }
}
