package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * The workers of one owner, and what a later owner has to know of them.
 *
 * <p>A worker gets tasks only while the store lists it as it is now. Answers the load in which
 * owners follow each other within seconds while workers leave, crash or fall silent: a new owner
 * asks each listed worker, and waits only for tasks that one which does not answer may run.
 */
final class WorkerTable {
  /**
   * A registration that goes so soon after the worker's last answer was taken back by the worker; a
   * lapse takes three heartbeats of silence, 4.5 s on the known platforms.
   */
  private static final long DEREGISTRATION_WINDOW_MS = 2_500;

  private final JobTable jobs;
  private final DecisionLog log;
  private final Map<String, WorkerState> workers = new HashMap<>();
  private boolean hasUnpersistedRemoval;

  WorkerTable(JobTable jobs, DecisionLog log) {
    this.jobs = jobs;
    this.log = log;
  }

  Collection<WorkerState> workers() {
    return workers.values();
  }

  /** Returns a worker, or null if it is not known. */
  WorkerState worker(String id) {
    return workers.get(id);
  }

  /** Forgets a worker that runs nothing and is not registered. */
  void forget(WorkerState worker) {
    workers.remove(worker.id());
    hasUnpersistedRemoval = true;
    log.logDecision("worker-forgotten", worker.id(), "");
  }

  /** Takes over a worker that a former owner used; it may not be registered any more. */
  void addInherited(FleetMember member, long nowMs) {
    WorkerRegistration entry = member.entry();
    registered(entry, nowMs);
    WorkerState worker = workers.get(entry.id());
    worker.persisted = true;
    worker.possibleTasks = member.possibleTasks();
    unregistered(entry.id(), nowMs);
  }

  /** Holds back, once all jobs are restored, the tasks that silent workers may run. */
  void holdPossibleTasks() {
    for (WorkerState worker : workers.values()) {
      worker.possibleTasks.ifPresent(
          keys -> forEachTask(keys, task -> task.possibleWorker = worker));
    }
  }

  private void forEachTask(Collection<TaskKey> keys, Consumer<TaskState> action) {
    for (TaskKey key : keys) {
      JobState job = jobs.job(key.jobId());
      TaskState task = job == null ? null : job.task(key);
      if (task != null) {
        action.accept(task);
      }
    }
  }

  /** Lets the tasks go that a worker might have run: it has answered, or runs nothing any more. */
  void releasePossibleTasks(WorkerState worker) {
    worker.possibleTasks.ifPresent(
        keys ->
            forEachTask(
                keys,
                task -> {
                  if (task.possibleWorker == worker) {
                    task.possibleWorker = null;
                  }
                }));
    worker.possibleTasks = Optional.empty();
  }

  /** Takes note of a worker's registration. */
  void registered(WorkerRegistration entry, long nowMs) {
    WorkerState worker = workers.get(entry.id());
    if (worker == null) {
      worker = new WorkerState(entry, nowMs);
      workers.put(entry.id(), worker);
      log.logDecision(
          "worker-known", entry.id(), "zone=" + entry.zone() + " address=" + entry.address());
    }
    if (entry.draining() != worker.entry.draining()) {
      log.logDecision("worker-draining", entry.id(), "draining=" + entry.draining());
      // A later owner need not wait for a worker that was draining and is not registered any more.
      worker.persisted = false;
    }
    worker.entry = entry;
    worker.registered = true;
    worker.deregistered = false;
  }

  /** Takes note that a worker is no longer registered; it may still run on. */
  void unregistered(String workerId, long nowMs) {
    WorkerState worker = workers.get(workerId);
    if (worker != null && worker.registered) {
      worker.registered = false;
      worker.deregistered =
          worker.entry.draining() && nowMs - worker.lastAnswerMs < DEREGISTRATION_WINDOW_MS;
      log.logDecision("worker-unregistered", workerId, "runs=" + worker.runs.size());
    }
  }

  /** Returns the workers that a later owner has to ask, or empty if the store lists them. */
  Optional<List<FleetMember>> unpersisted() {
    boolean all = workers.values().stream().allMatch(w -> w.persisted);
    return all && !hasUnpersistedRemoval
        ? Optional.empty()
        : Optional.of(workers.values().stream().map(WorkerState::toFleetMember).toList());
  }

  /** Takes note that the store lists these workers. */
  void persisted(List<FleetMember> members) {
    hasUnpersistedRemoval = false;
    for (FleetMember member : members) {
      WorkerState worker = workers.get(member.entry().id());
      // A worker that fell silent or came back meanwhile has to be listed anew.
      if (worker != null && worker.toFleetMember().isEquivalentTo(member)) {
        worker.persisted = true;
      }
    }
  }
}
