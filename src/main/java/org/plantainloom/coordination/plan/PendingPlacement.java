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
 * Places pending tasks: urgent ones first, then service replicas, then batch tasks.
 *
 * <p>Within a priority, tasks of the team that uses the smallest share of its quota come first
 * (dominant resource fairness, Ghodsi et al., NSDI 2011, weighted by quota).
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
    PriorityQueue<TeamBacklog> backlogs = new PriorityQueue<>();
    for (TeamDraft draft : drafts.values()) {
      Deque<TaskRecord> tasks = pendingTasks(draft, priority);
      if (!tasks.isEmpty()) {
        backlogs.add(new TeamBacklog(draft, tasks, shares.dominantShare(draft.teamState().team())));
      }
    }
    Set<ResourceVector> sizesWithoutRoom = new HashSet<>();
    while (!backlogs.isEmpty()) {
      TeamBacklog backlog = backlogs.poll();
      placeNext(backlog, priority, sizesWithoutRoom);
      if (!backlog.tasks().isEmpty()) {
        backlogs.add(backlog.withShare(shares.dominantShare(backlog.draft().teamState().team())));
      }
    }
  }

  private Deque<TaskRecord> pendingTasks(TeamDraft draft, Priority priority) {
    List<TaskRecord> tasks = new ArrayList<>();
    for (TaskRecord task : draft.tasks()) {
      boolean due = task.phase() == TaskPhase.PENDING && task.notBeforeMs() <= nowMs;
      if (due && draft.teamState().priorityOf(task.id()) == priority) {
        tasks.add(task);
      }
    }
    tasks.sort(Comparator.comparingLong(TaskRecord::pendingSinceMs).thenComparing(TaskRecord::id));
    return new ArrayDeque<>(tasks);
  }

  // Sizes for which no room was found are skipped for the rest of the round, so that many large
  // tasks neither block others nor each cost a scan of the fleet.
  private void placeNext(
      TeamBacklog backlog, Priority priority, Set<ResourceVector> sizesWithoutRoom) {
    TaskRecord task = backlog.tasks().poll();
    TaskLaunch launch = backlog.draft().teamState().launchOf(task.id()).orElseThrow();
    boolean knownWithoutRoom = task.avoided().isEmpty() && sizesWithoutRoom.contains(launch.size());
    Optional<FleetWorker> chosen =
        knownWithoutRoom ? Optional.empty() : fleet.choose(task.id(), launch, task.avoided());
    if (chosen.isPresent()) {
      bind(backlog.draft(), task, launch, chosen.get());
      return;
    }
    sizesWithoutRoom.add(launch.size());
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
    shares.addUsage(task.id().team(), launch.size());
    planner.emit(EventKind.TASK_BOUND, bound.ref(), "to " + worker.info().id());
  }

  private record TeamBacklog(TeamDraft draft, Deque<TaskRecord> tasks, double share)
      implements Comparable<TeamBacklog> {
    @Override
    public int compareTo(TeamBacklog other) {
      int byShare = Double.compare(share, other.share);
      return byShare != 0
          ? byShare
          : draft.teamState().team().compareTo(other.draft.teamState().team());
    }

    TeamBacklog withShare(double newShare) {
      return new TeamBacklog(draft, tasks, newShare);
    }
  }
}
