package org.plantainloom.program.experiment;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.RackId;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.ZoneName;

/** A fleet in the proportions of the target: racks of 8, seven zones, accelerators on some. */
final class ModelFleet {
  private static final int PER_RACK = 8;
  private static final int ZONES = 7;
  private static final int ACCELERATORS = 4;

  private ModelFleet() {}

  static VmListing of(int workers) {
    List<WorkerInfo> all = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      int rack = i / PER_RACK;
      boolean accelerated = i % 30 < 13; // 13 in 30 with 4 each: 1,300 on 750 workers
      all.add(
          new WorkerInfo(
              new WorkerId("w" + i),
              new RackId("r" + rack),
              new ZoneName("z" + rack % ZONES),
              "region-" + rack % ZONES % 3,
              "none:1",
              1,
              new ResourceVector(32_000, 125 * 1_024, accelerated ? ACCELERATORS : 0),
              8,
              64,
              false));
    }
    return VmListing.of(1, all);
  }
}
