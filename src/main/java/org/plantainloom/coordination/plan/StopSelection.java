package org.plantainloom.coordination.plan;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.state.RunState;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerInfo;

/**
 * Selects the bound tasks that have to stop: those that are no longer declared, are in an
 * availability zone that is taken out, run on a leaving VM, or are evicted.
 */
final class StopSelection {
  private final Planner planner;
  private final Set<TaskRef> selected = new TreeSet<>();

  StopSelection(Planner planner) {
    this.planner = planner;
  }

  Set<TaskRef> selected() {
    return Collections.unmodifiableSet(selected);
  }

  void select() {
    for (TeamState teamState : planner.teamStates()) {
      if (!teamState.isLoaded()) {
        continue;
      }
      List<TaskRecord> bound =
          teamState.persisted().tasks().stream().filter(t -> t.phase() == TaskPhase.BOUND).toList();
      for (TaskRecord task : bound) {
        if (teamState.launchOf(task.id()).isEmpty()) {
          selected.add(task.ref());
        }
      }
      selectBatchTasksToMove(teamState, bound);
      teamState.config().services().forEach(s -> selectReplicasToMove(s, bound));
    }
  }

  /** Selects the evicted tasks; those no longer committed have already ended. */
  void addEvicted() {
    planner.evictedFor().keySet().removeIf(ref -> planner.commitment(ref).isEmpty());
    selected.addAll(planner.evictedFor().keySet());
  }

  private void selectBatchTasksToMove(TeamState teamState, List<TaskRecord> bound) {
    for (TaskRecord task : bound) {
      boolean batch = teamState.config().service(task.id().workload()).isEmpty();
      if (batch && mustMove(task)) {
        selected.add(task.ref());
      }
    }
  }

  // At most as many running replicas move at a time as the service can spare.
  private void selectReplicasToMove(ServiceSpec service, List<TaskRecord> bound) {
    List<TaskRecord> replicas =
        bound.stream().filter(t -> t.id().workload().equals(service.name())).toList();
    long running = replicas.stream().filter(this::isRunning).count();
    int needed = ceilDiv(service.replicas() * service.survivingPercent(), 100);
    long spareReplicas = Math.max(1, service.replicas() - needed) - (service.replicas() - running);
    for (TaskRecord task : replicas) {
      if (!mustMove(task) || selected.contains(task.ref())) {
        continue;
      }
      // A replica that is not running can move without reducing the service's capacity.
      if (!isRunning(task)) {
        selected.add(task.ref());
      } else if (spareReplicas > 0) {
        selected.add(task.ref());
        spareReplicas--;
      }
    }
  }

  private static int ceilDiv(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }

  private boolean isRunning(TaskRecord task) {
    return planner
        .commitment(task.ref())
        .flatMap(CommitmentStatus::state)
        .filter(s -> s == RunState.RUNNING)
        .isPresent();
  }

  private boolean mustMove(TaskRecord task) {
    Optional<WorkerInfo> worker = planner.listing().worker(task.worker().orElseThrow());
    return worker
        .filter(w -> w.leaving() || planner.index().zonesOut().contains(w.zone()))
        .isPresent();
  }
}
