package org.plantainloom.coordination.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TeamId;

/** One planning round over all teams. */
final class PlanRound {
  private final Planner planner;
  private final long nowMs;
  private final Map<TeamId, TeamDraft> drafts = new LinkedHashMap<>();
  private final PlacementFleet fleet;
  private final StopSelection stops;

  PlanRound(Planner planner, long nowMs) {
    this.planner = planner;
    this.nowMs = nowMs;
    this.fleet = new FleetBuilder(planner, nowMs).build();
    this.stops = new StopSelection(planner);
  }

  List<TasksWrite> run() {
    for (TeamQueue queue : planner.queues()) {
      if (queue.isReady()) {
        TeamDraft draft = new TeamDraft(planner, queue, nowMs);
        draft.applyReleases();
        draft.applyDeclarations();
        drafts.put(queue.team(), draft);
      }
    }
    stops.select();
    new PendingPlacement(planner, fleet, drafts, nowMs).placeAll();
    stops.addPreempted();
    List<TasksWrite> writes = new ArrayList<>();
    for (TeamDraft draft : drafts.values()) {
      draft.write().ifPresent(writes::add);
    }
    return writes;
  }

  Set<TaskRef> stops() {
    return stops.selected();
  }
}
