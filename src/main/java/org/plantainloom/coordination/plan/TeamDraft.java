package org.plantainloom.coordination.plan;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.plantainloom.state.BatchJobProgress;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.JobIntent;
import org.plantainloom.state.Release;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TasksDocument;

/** Draft of the next tasks document of one team. */
final class TeamDraft {
  private final Planner planner;
  private final TeamState teamState;
  private final long nowMs;
  private final SortedMap<TaskId, TaskRecord> tasks = new TreeMap<>();
  private final Map<String, BatchJobProgress> jobs = new LinkedHashMap<>();

  TeamDraft(Planner planner, TeamState teamState, long nowMs) {
    this.planner = planner;
    this.teamState = teamState;
    this.nowMs = nowMs;
    teamState.persisted().tasks().forEach(t -> tasks.put(t.id(), t));
    teamState.persisted().jobs().forEach(j -> jobs.put(j.job(), j));
  }

  TeamState teamState() {
    return teamState;
  }

  Collection<TaskRecord> tasks() {
    return tasks.values();
  }

  void put(TaskRecord task) {
    tasks.put(task.id(), task);
  }

  void applyReleases() {
    for (TaskRecord task : List.copyOf(tasks.values())) {
      if (task.phase() == TaskPhase.BOUND) {
        planner.release(task.ref()).ifPresent(release -> applyRelease(task, release));
      }
    }
  }

  private void applyRelease(TaskRecord task, Release release) {
    planner.evictedFor().remove(release.ref());
    planner.emit(
        EventKind.TASK_RELEASED,
        release.ref(),
        release.outcome() + " on " + release.worker() + " at " + release.checkpoint() + " ms");
    boolean batch = jobs.containsKey(task.id().workload());
    switch (release.outcome()) {
      case FINISHED -> finish(task, release, batch);
      case FAILED -> fail(task, release);
      case EVICTED, LOST, DECLINED ->
          tasks.put(task.id(), task.pendingAgain(release.checkpoint(), nowMs, nowMs));
    }
  }

  private void finish(TaskRecord task, Release release, boolean batch) {
    planner.health().recordSuccess(release.worker());
    // A replica is meant to run until it is stopped, so one that exits is placed again.
    if (!batch) {
      tasks.put(task.id(), task.pendingAgain(0, nowMs, nowMs));
      return;
    }
    tasks.remove(task.id());
    updateProgress(task.id().workload(), BatchJobProgress::withFinished);
  }

  private void fail(TaskRecord task, Release release) {
    if (planner.health().recordFailure(release.worker(), task.id(), nowMs)) {
      planner.emit(EventKind.WORKER_SET_ASIDE, release.worker(), "failed several tasks in a row");
    }
    TaskRecord failed = task.failedOn(release.worker());
    if (failed.avoided().size() >= planner.policy().failuresToSetAside()) {
      tasks.put(task.id(), failed.asSetAside());
      planner.emit(
          EventKind.TASK_SET_ASIDE, task.id(), "failed on " + failed.avoided().size() + " workers");
      return;
    }
    long notBeforeMs = nowMs + planner.policy().retryDelayMs(failed.failures());
    tasks.put(task.id(), failed.pendingAgain(release.checkpoint(), notBeforeMs, nowMs));
  }

  private void updateProgress(String job, UnaryOperator<BatchJobProgress> change) {
    BatchJobProgress next = change.apply(jobs.get(job));
    jobs.put(job, next);
    if (next.complete()) {
      planner.emit(
          EventKind.JOB_COMPLETE,
          teamState.team() + "/" + job,
          next.finished() + " finished, " + next.cancelled() + " cancelled");
    }
  }

  void applyDeclarations() {
    for (ServiceSpec service : teamState.config().services()) {
      for (int i = 0; i < service.replicas(); i++) {
        TaskId id = new TaskId(teamState.team(), service.name(), i);
        tasks.computeIfAbsent(id, t -> TaskRecord.pending(t, nowMs));
      }
    }
    for (JobIntent intent : teamState.jobs().jobs()) {
      BatchJobSpec spec = intent.spec();
      if (!jobs.containsKey(spec.name())) {
        createJob(spec);
      }
    }
    removeUndeclared();
    // The administration API removes complete jobs from its document; their progress is removed
    // along with them.
    jobs.values().removeIf(j -> j.complete() && teamState.jobs().job(j.job()).isEmpty());
  }

  private void createJob(BatchJobSpec spec) {
    jobs.put(spec.name(), new BatchJobProgress(spec.name(), spec.tasks(), 0, 0, false));
    for (int i = 0; i < spec.tasks(); i++) {
      TaskId id = new TaskId(teamState.team(), spec.name(), i);
      tasks.put(id, TaskRecord.pending(id, nowMs));
    }
  }

  private void removeUndeclared() {
    for (TaskRecord task : List.copyOf(tasks.values())) {
      boolean declared = teamState.launchOf(task.id()).isPresent();
      if (declared || task.phase() == TaskPhase.BOUND) {
        continue;
      }
      tasks.remove(task.id());
      if (jobs.containsKey(task.id().workload())) {
        updateProgress(task.id().workload(), j -> j.withCancelled(1));
      }
    }
  }

  Optional<TasksWrite> write() {
    TasksDocument next =
        new TasksDocument(
            teamState.team(),
            planner.epoch(),
            List.copyOf(tasks.values()),
            List.copyOf(jobs.values()));
    return next.equals(teamState.persisted())
        ? Optional.empty()
        : Optional.of(teamState.startWrite(next));
  }
}
