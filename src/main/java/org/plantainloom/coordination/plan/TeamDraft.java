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

/** The next document of one team, under construction. */
final class TeamDraft {
  private final Planner planner;
  private final TeamQueue queue;
  private final long nowMs;
  private final SortedMap<TaskId, TaskRecord> tasks = new TreeMap<>();
  private final Map<String, BatchJobProgress> jobs = new LinkedHashMap<>();

  TeamDraft(Planner planner, TeamQueue queue, long nowMs) {
    this.planner = planner;
    this.queue = queue;
    this.nowMs = nowMs;
    queue.persisted().tasks().forEach(t -> tasks.put(t.id(), t));
    queue.persisted().jobs().forEach(j -> jobs.put(j.job(), j));
  }

  TeamQueue queue() {
    return queue;
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
    planner.preempted().remove(release.ref());
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
    planner.health().succeeded(release.worker());
    if (!batch) {
      tasks.put(task.id(), task.pendingAgain(0, nowMs, nowMs));
      return;
    }
    tasks.remove(task.id());
    progress(task.id().workload(), BatchJobProgress::withFinished);
  }

  private void fail(TaskRecord task, Release release) {
    if (planner.health().failed(release.worker(), task.id(), nowMs)) {
      planner.emit(EventKind.WORKER_SET_ASIDE, release.worker(), "failed several tasks in a row");
    }
    TaskRecord failed = task.failedOn(release.worker());
    if (failed.avoided().size() >= planner.policy().failuresToSetAside()) {
      tasks.put(task.id(), failed.asSetAside());
      planner.emit(
          EventKind.TASK_SET_ASIDE, task.id(), "failed on " + failed.avoided().size() + " workers");
      return;
    }
    long notBeforeMs = nowMs + planner.policy().retryPauseMs(failed.failures());
    tasks.put(task.id(), failed.pendingAgain(release.checkpoint(), notBeforeMs, nowMs));
  }

  private void progress(String job, UnaryOperator<BatchJobProgress> change) {
    BatchJobProgress next = change.apply(jobs.get(job));
    jobs.put(job, next);
    if (next.complete()) {
      planner.emit(
          EventKind.JOB_COMPLETE,
          queue.team() + "/" + job,
          next.finished() + " finished, " + next.cancelled() + " cancelled");
    }
  }

  void applyDeclarations() {
    for (ServiceSpec service : queue.config().services()) {
      for (int i = 0; i < service.replicas(); i++) {
        TaskId id = new TaskId(queue.team(), service.name(), i);
        tasks.computeIfAbsent(id, t -> TaskRecord.pending(t, nowMs));
      }
    }
    for (JobIntent intent : queue.jobs().jobs()) {
      BatchJobSpec spec = intent.spec();
      if (!jobs.containsKey(spec.name())) {
        createJob(spec);
      }
    }
    dropUndeclared();
    // The administration API drops complete jobs from its document; their progress goes with them.
    jobs.values().removeIf(j -> j.complete() && queue.jobs().job(j.job()).isEmpty());
  }

  private void createJob(BatchJobSpec spec) {
    jobs.put(spec.name(), new BatchJobProgress(spec.name(), spec.tasks(), 0, 0, false));
    for (int i = 0; i < spec.tasks(); i++) {
      TaskId id = new TaskId(queue.team(), spec.name(), i);
      tasks.put(id, TaskRecord.pending(id, nowMs));
    }
  }

  private void dropUndeclared() {
    for (TaskRecord task : List.copyOf(tasks.values())) {
      boolean wanted = queue.launchOf(task.id()).isPresent();
      if (wanted || task.phase() == TaskPhase.BOUND) {
        continue;
      }
      tasks.remove(task.id());
      if (jobs.containsKey(task.id().workload())) {
        progress(task.id().workload(), j -> j.withCancelled(1));
      }
    }
  }

  Optional<TasksWrite> write() {
    TasksDocument next =
        new TasksDocument(
            queue.team(), planner.epoch(), List.copyOf(tasks.values()), List.copyOf(jobs.values()));
    return next.equals(queue.persisted()) ? Optional.empty() : Optional.of(queue.startWrite(next));
  }
}
