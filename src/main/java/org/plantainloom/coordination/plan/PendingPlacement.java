package org.plantainloom.coordination.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.Priority;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TeamId;

/**
 * Places pending tasks: urgent ones first, then services, then batch work.
 *
 * <p>Among batch tasks the team with the smallest share of its quota in use comes first (dominant
 * resource fairness, Ghodsi et al., NSDI 2011, weighted by quota).
 */
final class PendingPlacement {
  private final Planner planner;
  private final PlacementFleet fleet;
  private final Map<TeamId, TeamDraft> drafts;
  private final long nowMs;
  private final QuotaShares shares;

  PendingPlacement(
      Planner planner, PlacementFleet fleet, Map<TeamId, TeamDraft> drafts, long nowMs) {
    this.planner = planner;
    this.fleet = fleet;
    this.drafts = drafts;
    this.nowMs = nowMs;
    this.shares = new QuotaShares(planner);
  }

  void placeAll() {
    for (Priority priority : Priority.values()) {
      placeAll(priority);
    }
  }

  private void placeAll(Priority priority) {
    PriorityQueue<TeamTurn> turns = new PriorityQueue<>();
    for (TeamDraft draft : drafts.values()) {
      Deque<TaskRecord> waiting = waiting(draft, priority);
      if (!waiting.isEmpty()) {
        turns.add(new TeamTurn(draft, waiting, shares.of(draft.queue().team())));
      }
    }
    Set<ResourceVector> full = new HashSet<>();
    while (!turns.isEmpty()) {
      TeamTurn turn = turns.poll();
      placeNext(turn, priority, full);
      if (!turn.waiting().isEmpty()) {
        turns.add(turn.withShare(shares.of(turn.draft().queue().team())));
      }
    }
  }

  private Deque<TaskRecord> waiting(TeamDraft draft, Priority priority) {
    List<TaskRecord> tasks = new ArrayList<>();
    for (TaskRecord task : draft.tasks()) {
      boolean due = task.phase() == TaskPhase.PENDING && task.notBeforeMs() <= nowMs;
      if (due && draft.queue().priorityOf(task.id()) == priority) {
        tasks.add(task);
      }
    }
    tasks.sort(Comparator.comparingLong(TaskRecord::pendingSinceMs).thenComparing(TaskRecord::id));
    return new ArrayDeque<>(tasks);
  }

  // Sizes that were found not to fit are skipped for the rest of the round, so one large task
  // neither blocks others nor costs a scan of the fleet for each of its kind.
  private void placeNext(TeamTurn turn, Priority priority, Set<ResourceVector> full) {
    TaskRecord task = turn.waiting().poll();
    TaskLaunch launch = turn.draft().queue().launchOf(task.id()).orElseThrow();
    boolean knownFull = task.avoided().isEmpty() && full.contains(launch.size());
    Optional<FleetWorker> chosen =
        knownFull ? Optional.empty() : fleet.choose(task.id(), launch, task.avoided());
    if (chosen.isPresent()) {
      bind(turn.draft(), task, launch, chosen.get());
      return;
    }
    full.add(launch.size());
    if (!fleet.couldHold(launch.size())) {
      planner.emitOnce(
          EventKind.TASK_UNPLACEABLE, task.id(), "no worker is as large as " + launch.size());
    } else if (priority.mayPreempt(Priority.NORMAL)) {
      new Preemption(planner, fleet).makeRoom(task, launch);
    }
  }

  private void bind(TeamDraft draft, TaskRecord task, TaskLaunch launch, FleetWorker worker) {
    fleet.reserve(worker.info().id(), task.id(), launch);
    TaskRecord bound = task.boundTo(worker.info().rack(), worker.info().id());
    draft.put(bound);
    shares.add(task.id().team(), launch.size());
    planner.emit(EventKind.TASK_BOUND, bound.ref(), "to " + worker.info().id());
  }

  private record TeamTurn(TeamDraft draft, Deque<TaskRecord> waiting, double share)
      implements Comparable<TeamTurn> {
    @Override
    public int compareTo(TeamTurn other) {
      int byShare = Double.compare(share, other.share);
      return byShare != 0 ? byShare : draft.queue().team().compareTo(other.draft.queue().team());
    }

    TeamTurn withShare(double newShare) {
      return new TeamTurn(draft, waiting, newShare);
    }
  }
}
