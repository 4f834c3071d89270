package org.plantainloom.coordination.plan;

import java.util.HashSet;
import java.util.Set;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RackId;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;

/** Works out what is free on each worker at the start of a planning round. */
final class FleetBuilder {
  private final Planner planner;
  private final long nowMs;

  FleetBuilder(Planner planner, long nowMs) {
    this.planner = planner;
    this.nowMs = nowMs;
  }

  PlacementFleet build() {
    PlacementFleet fleet = new PlacementFleet(planner.policy().placement());
    Set<WorkerId> unreachable = new HashSet<>();
    Set<RackId> knownRacks = new HashSet<>();
    for (RackStatus status : planner.statuses()) {
      unreachable.addAll(status.unreachable());
      knownRacks.add(status.rack());
    }
    for (WorkerInfo worker : planner.listing().workers()) {
      boolean usable =
          !worker.leaving()
              && knownRacks.contains(worker.rack())
              && !unreachable.contains(worker.id())
              && !planner.index().zonesOut().contains(worker.zone())
              && !planner.health().isSetAside(worker.id(), nowMs);
      fleet.add(new FleetWorker(worker, usable));
    }
    takeCommitted(fleet);
    takePromised(fleet);
    return fleet;
  }

  private void takeCommitted(PlacementFleet fleet) {
    for (RackStatus status : planner.statuses()) {
      for (CommitmentStatus line : status.commitments()) {
        Commitment commitment = line.commitment();
        fleet.reserve(commitment.worker(), commitment.ref().task(), commitment.launch());
      }
    }
  }

  // What is bound but not committed yet is taken as well, or it would be promised twice.
  private void takePromised(PlacementFleet fleet) {
    for (TeamQueue queue : planner.queues()) {
      for (TaskRecord task : queue.latest().tasks()) {
        boolean promised =
            task.phase() == TaskPhase.BOUND
                && planner.commitment(task.ref()).isEmpty()
                && planner.release(task.ref()).isEmpty();
        if (promised) {
          queue
              .launchOf(task.id())
              .ifPresent(launch -> fleet.reserve(task.worker().orElseThrow(), task.id(), launch));
        }
      }
    }
  }
}
