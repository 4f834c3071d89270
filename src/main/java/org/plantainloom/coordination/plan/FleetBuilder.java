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

/** Computes the free resources of each worker at the start of a planning round. */
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
    reserveCommitted(fleet);
    reserveBound(fleet);
    return fleet;
  }

  private void reserveCommitted(PlacementFleet fleet) {
    for (RackStatus status : planner.statuses()) {
      for (CommitmentStatus entry : status.commitments()) {
        Commitment commitment = entry.commitment();
        fleet.reserve(commitment.worker(), commitment.ref().task(), commitment.launch());
      }
    }
  }

  // Bound tasks that are not committed yet need a reservation too; otherwise their resources would
  // be given to other tasks.
  private void reserveBound(PlacementFleet fleet) {
    for (TeamState teamState : planner.teamStates()) {
      for (TaskRecord task : teamState.latest().tasks()) {
        boolean awaitsCommit =
            task.phase() == TaskPhase.BOUND
                && planner.commitment(task.ref()).isEmpty()
                && planner.release(task.ref()).isEmpty();
        if (awaitsCommit) {
          teamState
              .launchOf(task.id())
              .ifPresent(launch -> fleet.reserve(task.worker().orElseThrow(), task.id(), launch));
        }
      }
    }
  }
}
