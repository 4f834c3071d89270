package org.plantainloom.coordination.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TeamId;

/** One planning round over the tasks of all teams. */
final class PlanningRound {
  private final Planner planner;
  private final long nowMs;
  private final Map<TeamId, TeamDraft> drafts = new LinkedHashMap<>();
  private final PlacementFleet fleet;
  private final StopSelection stops;

  PlanningRound(Planner planner, long nowMs) {
    this.planner = planner;
    this.nowMs = nowMs;
    this.fleet = new FleetBuilder(planner, nowMs).build();
    this.stops = new StopSelection(planner);
  }

  List<TasksWrite> run() {
    for (TeamState teamState : planner.teamStates()) {
      if (teamState.isReady()) {
        TeamDraft draft = new TeamDraft(planner, teamState, nowMs);
        draft.applyReleases();
        draft.applyDeclarations();
        drafts.put(teamState.team(), draft);
      }
    }
    stops.select();
    new PendingPlacement(planner, fleet, drafts, nowMs).placeAll();
    stops.addEvicted();
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
