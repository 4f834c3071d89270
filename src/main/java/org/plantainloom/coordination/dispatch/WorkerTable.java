package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.plantainloom.coordination.dispatch.RunConclusion.Evidence;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * The workers known to this owner, and the list of them that is stored for the next owner.
 *
 * <p>A worker gets tasks only while the store lists it in its current state. Ownership may change
 * several times within seconds while workers leave, crash or stop answering. A new owner therefore
 * polls each stored worker, and delays only the tasks that an unreachable one may still run.
 */
final class WorkerTable {
  private final JobTable jobs;
  private final DecisionLog log;
  private final Map<String, WorkerState> workers = new HashMap<>();
  private boolean hasUnpersistedRemoval;

  /** Whether previous owners may have started tasks on workers that this owner does not know. */
  private boolean listIncomplete;

  /** Whether the stored list is, or is marked as, incomplete. */
  private boolean storedListIncomplete;

  WorkerTable(JobTable jobs, DecisionLog log) {
    this.jobs = jobs;
    this.log = log;
  }

  Collection<WorkerState> all() {
    return workers.values();
  }

  /** Returns a worker, or null if it is unknown. */
  WorkerState get(String id) {
    return workers.get(id);
  }

  /** Removes a worker that runs nothing and is not registered. */
  void forget(WorkerState worker) {
    workers.remove(worker.id());
    hasUnpersistedRemoval = true;
    log.logDecision("worker-forgotten", worker.id(), "");
  }

  /** Adds a worker that a previous owner stored, unregistered until its registration is seen. */
  void addInherited(FleetMember member, long nowMs) {
    WorkerRegistration registration = member.entry();
    registered(registration, nowMs);
    WorkerState worker = workers.get(registration.id());
    worker.persisted = true;
    worker.possibleTasks = member.possibleTasks();
    worker.storedAsSilent = member.silent();
    worker.inheritedLeaseEndMs = member.leaseEndMs();
    worker.inheritedLeaseEnd = member.leaseEnd();
    worker.inherited = true;
    unregistered(registration.id());
  }

  /**
   * Handles a stored list that is unreadable or lacks some of its workers. Tasks of inherited jobs
   * then wait until the longest lease that a previous owner may have given to an unknown worker has
   * passed, even if all known workers answer.
   */
  void listIncomplete() {
    listIncomplete = true;
    storedListIncomplete = true;
  }

  /** Handles that unknown workers cannot run anything for previous owners any more. */
  void listComplete() {
    listIncomplete = false;
  }

  boolean isListIncomplete() {
    return listIncomplete;
  }

  /**
   * Returns whether it is known what all workers run, or may run, for previous owners.
   *
   * @param confirmedMs when the store last confirmed the ownership
   */
  boolean areAllKnown(long confirmedMs) {
    return !listIncomplete && areListedOnesKnown(confirmedMs);
  }

  /** Returns the same for the workers in this table, which may lack some of previous owners. */
  boolean areListedOnesKnown(long confirmedMs) {
    return workers.values().stream().allMatch(worker -> isKnown(worker, confirmedMs));
  }

  /** Returns whether it is known what a worker runs, or may run, for previous owners. */
  static boolean isKnown(WorkerState worker, long confirmedMs) {
    return worker.hasListedAllEnds()
        || worker.possibleTasks.isPresent()
        || worker.isInheritedLeaseOver(confirmedMs);
  }

  /** Handles that a worker does not answer. */
  void becameSilent(WorkerState worker, String reason) {
    worker.unreachable = true;
    worker.persisted = false;
    worker.storedAsSilent = true;
    log.logDecision("worker-silent", worker.id(), "reason=" + reason);
  }

  /**
   * Marks the inherited workers that have not answered yet as silent, before this owner may act:
   * the next owner then need not wait for them any longer than this one.
   */
  void markUnansweredSilent() {
    for (WorkerState worker : workers.values()) {
      if (worker.inherited && !worker.hasAnswered()) {
        worker.storedAsSilent = true;
      }
    }
  }

  /** Returns whether each worker of previous owners has answered, or does not answer. */
  boolean haveInheritedOnesReplied() {
    return workers.values().stream()
        .allMatch(worker -> !worker.inherited || worker.unreachable || worker.hasAnswered());
  }

  /** Handles an answer: until the stored list names the worker as answering, nothing runs anew. */
  void answered(WorkerState worker) {
    if (worker.storedAsSilent) {
      worker.persisted = false;
    }
  }

  /** Works out anew when leases have ended, as the former owner's clocks are better known. */
  void inheritedLeaseEndsKnown(Function<OwnerTime, OptionalLong> latestMs) {
    for (WorkerState worker : workers.values()) {
      OptionalLong endMs = worker.inheritedLeaseEnd.map(latestMs).orElse(OptionalLong.empty());
      if (endMs.isPresent()
          && endMs.getAsLong() < worker.inheritedLeaseEndMs.orElse(Long.MAX_VALUE)) {
        worker.inheritedLeaseEndMs = endMs;
      }
    }
  }

  /** Once all jobs are restored, holds back the tasks that unreachable workers may run. */
  void holdPossibleTasks() {
    for (WorkerState worker : workers.values()) {
      worker.possibleTasks.ifPresent(keys -> forEachTask(keys, task -> task.holdFor(worker)));
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

  /**
   * Releases the held-back tasks of a worker that has answered or can run nothing any more.
   *
   * @param evidence why the tasks that it does not list are not run by it
   */
  void releasePossibleTasks(WorkerState worker, Evidence evidence, long evidenceMs) {
    worker.possibleTasks.ifPresent(
        keys -> forEachTask(keys, task -> release(task, worker, evidence, evidenceMs)));
    if (worker.possibleTasks.isPresent()) {
      // The stored list still limits what the worker may run to these tasks. Until that is
      // corrected, the next owner would start elsewhere what this one starts here.
      worker.persisted = false;
    }
    worker.possibleTasks = Optional.empty();
  }

  private static void release(
      TaskState task, WorkerState worker, Evidence evidence, long evidenceMs) {
    task.releaseFrom(worker);
    if (task.runs.isEmpty() && task.lastConclusion.isEmpty()) {
      task.lastConclusion =
          Optional.of(
              new RunConclusion(
                  task.lastRunNumber, worker.id(), RunOutcome.LOST, evidence, evidenceMs));
    }
    task.phase.untrackIfOver(task);
  }

  /** Handles a new or changed registration. */
  void registered(WorkerRegistration registration, long nowMs) {
    WorkerState worker = workers.get(registration.id());
    if (worker == null) {
      worker = new WorkerState(registration, nowMs);
      workers.put(registration.id(), worker);
      log.logDecision(
          "worker-known",
          registration.id(),
          "zone=" + registration.zone() + " address=" + registration.address());
    }
    if (registration.draining() != worker.registration.draining()) {
      log.logDecision("worker-draining", registration.id(), "draining=" + registration.draining());
      // The next owner lists it as draining until it has read the registration itself.
      worker.persisted = false;
    }
    worker.registered(registration);
  }

  /**
   * Handles the removal of a registration. Whether the worker removed it before it left, or it
   * expired as the worker does not reach the store, is not known: the worker may still be running,
   * draining or not, until its lease has ended.
   */
  void unregistered(String workerId) {
    WorkerState worker = workers.get(workerId);
    if (worker != null && worker.registered) {
      worker.registered = false;
      log.logDecision("worker-unregistered", workerId, "runs=" + worker.runs.size());
    }
  }

  /**
   * Handles a registration that another system has overwritten: the worker gets no tasks until it
   * registers again, and its runs are not given up before its lease has expired.
   */
  void registrationReplaced(String workerId) {
    WorkerState worker = workers.get(workerId);
    if (worker == null) {
      return;
    }
    if (worker.registered) {
      worker.registered = false;
      log.logDecision("worker-overwritten", workerId, "runs=" + worker.runs.size());
    }
  }

  /**
   * Returns the workers that the next owner has to poll, or empty if the stored list is current.
   *
   * @param leaseEnds when the last lease of a worker has ended
   */
  Optional<List<FleetMember>> unpersisted(ToLongFunction<WorkerState> leaseEnds) {
    boolean allPersisted = workers.values().stream().allMatch(w -> w.persisted);
    boolean markOutdated = storedListIncomplete && !listIncomplete;
    return allPersisted && !hasUnpersistedRemoval && !markOutdated
        ? Optional.empty()
        : Optional.of(members(leaseEnds));
  }

  /** Returns the workers that the next owner has to poll. */
  List<FleetMember> members(ToLongFunction<WorkerState> leaseEnds) {
    return workers.values().stream().map(worker -> toFleetMember(worker, leaseEnds)).toList();
  }

  private static FleetMember toFleetMember(
      WorkerState worker, ToLongFunction<WorkerState> leaseEnds) {
    FleetMember member = worker.toFleetMember();
    return worker.isSilent() ? member.silentUntil(leaseEnds.applyAsLong(worker)) : member;
  }

  /**
   * Handles a successful write of the list.
   *
   * @param incomplete whether it was stored as incomplete
   * @param leaseEnds when the last lease of a worker has ended
   */
  void persisted(
      List<FleetMember> members, boolean incomplete, ToLongFunction<WorkerState> leaseEnds) {
    hasUnpersistedRemoval = false;
    storedListIncomplete = incomplete;
    for (FleetMember member : members) {
      WorkerState worker = workers.get(member.entry().id());
      if (worker == null) {
        continue;
      }
      // Only one list is written at a time, so that no earlier one can replace this one.
      worker.storedAsSilent = member.silent() || worker.unreachable;
      // A worker that became unreachable or reachable since then has to be written again.
      if (toFleetMember(worker, leaseEnds).isCoveredBy(member)) {
        worker.persisted = true;
      }
    }
  }
}
