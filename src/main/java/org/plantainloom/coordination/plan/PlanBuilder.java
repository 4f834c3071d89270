package org.plantainloom.coordination.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.plantainloom.coordination.rack.Binding;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WorkloadKind;

/** Builds the plan of each rack from the persisted documents, in one pass over all tasks. */
final class PlanBuilder {
  // A bound task that is no longer declared has no launch. Its rack needs none: the plan also stops
  // the task, so the binding is declined.
  private static final TaskLaunch UNDECLARED_LAUNCH =
      new TaskLaunch(WorkloadKind.BATCH, ResourceVector.ZERO, 0, 0);

  private final Planner planner;
  private final Map<RackId, RackPlanDraft> drafts = new TreeMap<>();
  private final Set<TaskRef> bound = new HashSet<>();
  private final Set<TeamId> loaded = new HashSet<>();

  private static final class RackPlanDraft {
    private final List<Binding> bindings = new ArrayList<>();
    private final List<TaskRef> stops = new ArrayList<>();
    private final List<TaskRef> acknowledged = new ArrayList<>();
  }

  PlanBuilder(Planner planner) {
    this.planner = planner;
  }

  /** Returns the plans that are not empty. */
  List<RackPlan> build(Collection<RackId> racks) {
    racks.forEach(r -> drafts.put(r, new RackPlanDraft()));
    planner.teamStates().forEach(this::addTasks);
    for (RackId rack : drafts.keySet()) {
      planner.status(rack).ifPresent(this::addFromStatus);
    }
    List<RackPlan> plans = new ArrayList<>();
    drafts.forEach((rack, draft) -> planOf(rack, draft).ifPresent(plans::add));
    return plans;
  }

  private void addTasks(TeamState teamState) {
    if (!teamState.isLoaded()) {
      return;
    }
    loaded.add(teamState.team());
    for (TaskRecord task : teamState.persisted().tasks()) {
      if (task.phase() == TaskPhase.BOUND) {
        bound.add(task.ref());
        addBinding(teamState, task);
      }
    }
  }

  private void addBinding(TeamState teamState, TaskRecord task) {
    RackPlanDraft draft = drafts.get(task.rack().orElseThrow());
    boolean committedOrReleased =
        planner.commitment(task.ref()).isPresent() || planner.release(task.ref()).isPresent();
    if (draft == null || committedOrReleased) {
      return;
    }
    TaskLaunch launch = teamState.launchOf(task.id()).orElse(UNDECLARED_LAUNCH);
    draft.bindings.add(
        new Binding(task.ref(), task.worker().orElseThrow(), launch, task.checkpoint()));
    if (planner.stops().contains(task.ref())) {
      draft.stops.add(task.ref());
    }
  }

  private void addFromStatus(RackStatus status) {
    RackPlanDraft draft = drafts.get(status.rack());
    for (CommitmentStatus entry : status.commitments()) {
      TaskRef ref = entry.commitment().ref();
      if (planner.stops().contains(ref)) {
        draft.stops.add(ref);
      }
    }
    // A rack may drop a release only after the team's persisted document no longer binds the
    // incarnation.
    for (Release release : status.releases()) {
      boolean processed =
          loaded.contains(release.ref().task().team()) && !bound.contains(release.ref());
      if (processed) {
        draft.acknowledged.add(release.ref());
      }
    }
  }

  private Optional<RackPlan> planOf(RackId rack, RackPlanDraft draft) {
    return planner
        .status(rack)
        .map(
            status ->
                new RackPlan(
                    rack,
                    planner.epoch(),
                    status.rackEpoch(),
                    planner.nextSequence(),
                    draft.bindings,
                    draft.stops,
                    draft.acknowledged))
        .filter(p -> !p.isEmpty());
  }
}
