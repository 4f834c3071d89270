package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/** The scheduler's view of a worker. */
final class WorkerState {
  /** First time that a misbehaving worker gets no tasks; doubles with each suspension. */
  private static final long INITIAL_SUSPENSION_MS = 2_000;

  private static final long MAX_SUSPENSION_MS = 16_000;

  /** Share of its reserved processor time that a serving task uses at peak load. */
  private static final double SERVING_CPU_USE = 0.55;

  /** Interference estimates change too slowly to be recomputed more often than this. */
  private static final long SERVING_SLACKS_MAX_AGE_MS = 300;

  WorkerRegistration registration;
  boolean registered = true;

  /** Whether the store lists the worker in its current state, so that the next owner polls it. */
  boolean persisted;

  /** For an unreachable worker, the tasks of previous owners that it may run, if known. */
  Optional<List<TaskKey>> possibleTasks = Optional.empty();

  boolean unreachable;

  /**
   * Whether the stored list may say that this worker is silent. Its lease must not be renewed then,
   * as the next owner may rely on its end.
   */
  boolean storedAsSilent;

  /** When no lease of a previous owner holds any more, if a stored list tells that. */
  OptionalLong inheritedLeaseEndMs = OptionalLong.empty();

  /** The same on the clocks of the owner that stored it. */
  Optional<OwnerTime> inheritedLeaseEnd = Optional.empty();

  /** Whether a previous owner has stored it, so that it may run tasks of that owner's. */
  boolean inherited;

  /** Its life as of its last answer, if that was before the jobs of this owner were read. */
  private Optional<WorkerLife> earlyLife = Optional.empty();

  /** The life in which it has answered a poll of this owner last; empty if it has not. */
  private Optional<WorkerLife> life = Optional.empty();

  /** When the lease has expired for certain, on this process's clock. */
  long leaseExpiryMs;

  /** Whether its last answer listed ends that can't be handled before their jobs are read. */
  boolean hasEndsOfUnreadJobs;

  boolean pollInFlight;

  /** When the last poll was sent, in {@link ElapsedTime}. */
  long pollSentElapsedMs;

  long nextPollMs;

  /** When its figures count for the model of interference again. */
  long nextObservationMs;

  /** False only if no run on this worker is to be stopped. */
  boolean mayHaveStoppingRuns;

  /** Jobs whose failures speak against this worker. */
  final FailureWitnesses failureWitnesses = new FailureWitnesses();

  /** End of the last suspension for failed runs; 0 if there was none. */
  private long failuresSuspendedUntilMs;

  /** Number of fill images that disturb a serving task on this worker, as of the last poll. */
  int disturbingImages;

  final FillUseTracker fillUse = new FillUseTracker();

  /** The serving tasks as of the last poll, by phase. */
  Map<PhaseState, ServingGroup> servingGroups = Map.of();

  long suspendedUntilMs;

  /** Until when a run of unknown size may use room. */
  long unknownRunUntilMs;

  private long nextSuspensionMs = INITIAL_SUSPENSION_MS;
  private long suspensionEndMs;
  final Map<TaskKey, Run> runs = new HashMap<>();
  private final List<UnpersistedEnd> unpersistedEnds = new ArrayList<>();
  private List<ServingSlack> servingSlacks = List.of();
  private long servingSlacksComputedMs = Long.MIN_VALUE;
  private ResourceVector reserved = ResourceVector.ZERO;
  private int fillCpuMillis;
  private int servingCpuMillis;
  private int lastingCpuMillis;

  /**
   * A task that ended here, of which the store does not know that.
   *
   * @param version version of the job that includes the end
   */
  private record UnpersistedEnd(TaskState task, long version) {
    boolean isPersisted() {
      return task.phase.job.persistedVersion >= version;
    }
  }

  WorkerState(WorkerRegistration registration, long nowMs) {
    this.registration = registration;
    this.nextPollMs = nowMs;
  }

  String id() {
    return registration.id();
  }

  /** Returns what the next owner has to know about this worker. */
  FleetMember toFleetMember() {
    if (!unreachable) {
      return new FleetMember(registration, possibleTasks);
    }
    Set<TaskKey> tasks = new LinkedHashSet<>(runs.keySet());
    possibleTasks.ifPresent(tasks::addAll);
    // Until their ends are stored, only this worker could tell the next owner of them.
    unpersistedEnds.removeIf(UnpersistedEnd::isPersisted);
    unpersistedEnds.forEach(end -> tasks.add(end.task().key));
    // Until all ends are listed it is unknown what a previous owner may have started here.
    boolean tasksKnown = hasListedAllEnds() || possibleTasks.isPresent();
    return new FleetMember(
        registration, tasksKnown ? Optional.of(List.copyOf(tasks)) : Optional.empty());
  }

  ResourceVector reserved() {
    return reserved;
  }

  /** Returns what is reserved, but for short tasks whose start has not been answered. */
  ResourceVector reservedByStarted() {
    ResourceVector started = reserved;
    for (Run run : runs.values()) {
      PhaseSpec spec = run.task.phase.spec;
      if (run.stage == Run.Stage.STARTING && !spec.lasting() && !spec.fillsIdleCpu()) {
        started = started.minus(spec.need());
      }
    }
    return started;
  }

  /** Returns the estimated idle processor time while fill tasks use all that they need. */
  int idleCpuMillis() {
    int unused = (int) (servingCpuMillis * (1 - SERVING_CPU_USE));
    return registration.capacity().cpuMillis() - reserved.cpuMillis() + unused - fillCpuMillis;
  }

  int fillCpuMillis() {
    return fillCpuMillis;
  }

  /** Returns the processor time that lasting tasks reserve. */
  int lastingCpuMillis() {
    return lastingCpuMillis;
  }

  void add(Run run) {
    runs.put(run.task.key, run);
    reserve(run, 1);
  }

  /** Records the end of a run that has to be persisted with the present version of its job. */
  void endUnpersisted(TaskState task) {
    unpersistedEnds.removeIf(UnpersistedEnd::isPersisted);
    unpersistedEnds.add(new UnpersistedEnd(task, task.phase.job.version));
  }

  void remove(Run run) {
    if (runs.remove(run.task.key, run)) {
      reserve(run, -1);
    }
  }

  /** Returns the slacks of the serving tasks, computed or from a short-lived cache. */
  List<ServingSlack> servingSlacks(
      long nowMs, Function<WorkerState, List<ServingSlack>> computation) {
    if (servingSlacksComputedMs == Long.MIN_VALUE
        || nowMs - servingSlacksComputedMs > SERVING_SLACKS_MAX_AGE_MS) {
      servingSlacks = computation.apply(this);
      servingSlacksComputedMs = nowMs;
    }
    return servingSlacks;
  }

  private void reserve(Run run, int sign) {
    servingSlacksComputedMs = Long.MIN_VALUE;
    ResourceVector need = run.task.phase.spec.need();
    if (run.task.phase.spec.fillsIdleCpu()) {
      fillCpuMillis += sign * need.cpuMillis();
      need = new ResourceVector(0, need.memoryMb(), need.accelerators());
    }
    if (run.task.phase.spec.lasting()) {
      lastingCpuMillis += sign * need.cpuMillis();
    }
    if (run.task.phase.spec.tailObjectiveMs() > 0) {
      servingCpuMillis += sign * need.cpuMillis();
    }
    reserved = sign > 0 ? reserved.plus(need) : reserved.minus(need);
  }

  /** Returns whether it has answered a poll that carried the fencing token of this owner. */
  boolean isConfirmed() {
    return life.isPresent();
  }

  /** Returns whether it is known what it runs, or has ended, for previous owners. */
  boolean hasListedAllEnds() {
    return life.filter(WorkerLife::hasListedAllEnds).isPresent();
  }

  /** Returns whether a stored list tells that no lease of a previous owner holds any more. */
  boolean isInheritedLeaseOver(long nowMs) {
    return !isConfirmed()
        && inheritedLeaseEndMs.isPresent()
        && inheritedLeaseEndMs.getAsLong() < nowMs
        && leaseExpiryMs < nowMs;
  }

  /** Returns whether it does not answer, also if only a previous owner has tried. */
  boolean isSilent() {
    return unreachable || (storedAsSilent && !hasAnswered());
  }

  /** Returns whether it has answered, also if the jobs were not read yet. */
  boolean hasAnswered() {
    return isConfirmed() || earlyLife.isPresent();
  }

  /** Handles an answer before the jobs are read, which tells only the worker's clock. */
  void answeredEarly(WorkerLife newLife) {
    earlyLife = Optional.of(newLife);
  }

  /** Returns the life of its last answer. */
  Optional<WorkerLife> lastLife() {
    return life.isPresent() ? life : earlyLife;
  }

  /** Returns the life in which it has answered last. */
  WorkerLife life() {
    return life.orElseThrow();
  }

  /** Returns whether its last answer, or its silence, leaves no doubt which life it is in. */
  boolean isLifeCertain() {
    return life.filter(WorkerLife::isCertain).isPresent();
  }

  /** Returns whether its registration is one of the life in which it has answered last. */
  boolean isRegisteredInLife() {
    return life.filter(known -> known.isNamedBy(registration.startedAtMs())).isPresent();
  }

  /** Handles a registration, which may be of another life than the last answer. */
  void registered(WorkerRegistration newRegistration) {
    registration = newRegistration;
    registered = true;
    if (!isRegisteredInLife()) {
      callFailed();
    }
  }

  /** Handles a call that was not answered by the worker. */
  void callFailed() {
    life.ifPresent(WorkerLife::callFailed);
  }

  /** Returns the number up to which the worker may forget its ended runs; 0 for none. */
  long acknowledgement() {
    return life.map(WorkerLife::acknowledgement).orElse(0L);
  }

  void advanceAcknowledgement() {
    life.ifPresent(WorkerLife::advanceAcknowledgement);
  }

  boolean hasUnacknowledgedEnds() {
    return hasEndsOfUnreadJobs || life.filter(WorkerLife::hasUnacknowledgedEnds).isPresent();
  }

  /**
   * Replaces the life that was known.
   *
   * @return the runs that are over: those which the former life has listed. Any other may have
   *     started in either.
   */
  List<Run> beginLife(WorkerLife newLife) {
    List<Run> over = runs.values().stream().filter(Run::isListed).toList();
    life = Optional.of(newLife);
    runs.values().forEach(Run::repeatStop);
    suspendedUntilMs = 0;
    unknownRunUntilMs = 0;
    suspensionEndMs = 0;
    failuresSuspendedUntilMs = 0;
    resetFailures();
    return over;
  }

  /** Records that a command or poll extends the lease. */
  void leaseExtended(long nowMs, long longestLeaseMs) {
    leaseExpiryMs = Math.max(leaseExpiryMs, nowMs + longestLeaseMs);
  }

  /** Suspends the worker, unless it is: of several starts sent at once, each may be refused. */
  void suspend(long nowMs) {
    failureWitnesses.forgetWitnesses();
    failuresSuspendedUntilMs = 0;
    extendSuspension(nowMs);
  }

  /** Suspends the worker for failed runs, whose jobs are remembered in case they are to blame. */
  void suspendForFailures(long nowMs) {
    if (nowMs >= suspensionEndMs) {
      extendSuspension(nowMs);
      failuresSuspendedUntilMs = suspensionEndMs;
    }
  }

  private void extendSuspension(long nowMs) {
    if (nowMs < suspensionEndMs) {
      return;
    }
    suspensionEndMs = nowMs + nextSuspensionMs;
    suspendedUntilMs = Math.max(suspendedUntilMs, suspensionEndMs);
    nextSuspensionMs = Math.min(nextSuspensionMs * 2, MAX_SUSPENSION_MS);
  }

  /** Handles a failed run: what was known before a suspension that is over counts no more. */
  void failedAfterSuspension(long nowMs) {
    if (failuresSuspendedUntilMs != 0 && failuresSuspendedUntilMs <= nowMs) {
      failureWitnesses.forgetWitnesses();
      failuresSuspendedUntilMs = 0;
    }
  }

  /** Returns whether it is suspended for failed runs, and for nothing else. */
  boolean isSuspendedForFailures(long nowMs) {
    return nowMs < suspendedUntilMs && suspendedUntilMs == failuresSuspendedUntilMs;
  }

  /** Ends a suspension that turns out to be without cause. */
  void endSuspension(long nowMs) {
    suspendedUntilMs = nowMs;
    suspensionEndMs = nowMs;
    failuresSuspendedUntilMs = 0;
    resetFailures();
  }

  void resetFailures() {
    failureWitnesses.clear();
    nextSuspensionMs = INITIAL_SUSPENSION_MS;
  }
}
