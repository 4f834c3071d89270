package org.plantainloom.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.function.Function;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerEntry;

/** What the scheduler knows of a worker. */
final class WorkerState {
  /** First time that a worker which misbehaves is left alone, in milliseconds; doubles. */
  private static final long INITIAL_SUSPENSION_MS = 2_000;

  private static final long MAX_SUSPENSION_MS = 16_000;

  /** Part of its reserved processor time that a serving task uses at most of its load. */
  private static final double SERVING_CPU_USE = 0.55;

  /** Within this time the estimates of disturbance change too little to compute them anew. */
  private static final long SERVING_GROUPS_MAX_AGE_MS = 300;

  WorkerEntry entry;
  boolean registered = true;

  /** Whether it was draining and took its registration back: it is gone once it does not answer. */
  boolean deregistered;

  /** Whether the store lists this worker, so that a later owner will look at it. */
  boolean persisted;

  /** Tasks of former owners that it may run, if these are known although it does not answer. */
  Optional<List<TaskKey>> possibleTasks = Optional.empty();

  /** Whether it has answered a look that carried the present fencing token. */
  boolean confirmed;

  boolean unreachable;
  long incarnation;
  long clockMs;
  long clockReadMs = -1;
  long leaseExpiryMs;
  long lastAnswerMs;
  long lastEndSeen;
  long acknowledgedEnd;
  boolean pollInFlight;
  long nextPollMs;

  /** False if no run here is to be stopped. */
  boolean mayHaveStoppingRuns;

  int consecutiveFailures;
  String lastFailedJob = "";

  /** How many fill images disturb a serving task here, as of the last look. */
  int disturbingImages;

  long suspendedUntilMs;
  private long nextSuspensionMs = INITIAL_SUSPENSION_MS;
  final Map<TaskKey, Run> runs = new HashMap<>();
  final Queue<UnacknowledgedEnd> unacknowledgedEnds = new ArrayDeque<>();
  private List<ServingGroup> servingGroups = List.of();
  private long servingGroupsComputedMs = Long.MIN_VALUE;
  private ResourceVector reserved = ResourceVector.ZERO;
  private int fillCpuMillis;
  private int servingCpuMillis;

  /** An end that may be acknowledged once a version of its job is kept; null for no job. */
  record UnacknowledgedEnd(long number, JobState job, long version) {}

  WorkerState(WorkerEntry entry, long nowMs) {
    this.entry = entry;
    this.incarnation = entry.startedAtMs();
    this.lastAnswerMs = nowMs;
    this.nextPollMs = nowMs;
  }

  String id() {
    return entry.id();
  }

  /** Returns what a later owner has to know. */
  FleetMember toFleetMember() {
    if (!unreachable) {
      return new FleetMember(entry, possibleTasks);
    }
    Set<TaskKey> tasks = new LinkedHashSet<>(runs.keySet());
    possibleTasks.ifPresent(tasks::addAll);
    // What a former owner may have started here is not known before the first answer.
    boolean known = confirmed || possibleTasks.isPresent();
    return new FleetMember(entry, known ? Optional.of(List.copyOf(tasks)) : Optional.empty());
  }

  ResourceVector reserved() {
    return reserved;
  }

  /** Returns the processor time that is estimated to be idle if fill tasks use all they can. */
  int idleCpuMillis() {
    int unused = (int) (servingCpuMillis * (1 - SERVING_CPU_USE));
    return entry.capacity().cpuMillis() - reserved.cpuMillis() + unused - fillCpuMillis;
  }

  int fillCpuMillis() {
    return fillCpuMillis;
  }

  void add(Run run) {
    runs.put(run.task.key, run);
    reserve(run, 1);
  }

  void remove(Run run) {
    if (runs.remove(run.task.key, run)) {
      reserve(run, -1);
    }
  }

  /** Returns the groups of serving tasks, as they were at most a short while ago. */
  List<ServingGroup> servingGroups(
      long nowMs, Function<WorkerState, List<ServingGroup>> computation) {
    if (servingGroupsComputedMs == Long.MIN_VALUE
        || nowMs - servingGroupsComputedMs > SERVING_GROUPS_MAX_AGE_MS) {
      servingGroups = computation.apply(this);
      servingGroupsComputedMs = nowMs;
    }
    return servingGroups;
  }

  private void reserve(Run run, int sign) {
    servingGroupsComputedMs = Long.MIN_VALUE;
    ResourceVector need = run.task.phase.spec.need();
    if (run.task.phase.spec.fillsIdleCpu()) {
      fillCpuMillis += sign * need.cpuMillis();
      need = new ResourceVector(0, need.memoryMb(), need.accelerators());
    }
    if (run.task.phase.spec.tailObjectiveMs() > 0) {
      servingCpuMillis += sign * need.cpuMillis();
    }
    reserved = sign > 0 ? reserved.plus(need) : reserved.minus(need);
  }

  /** Returns the worker's clock now, in milliseconds; at most a message's way behind. */
  long clockAt(long nowMs) {
    return clockMs + (nowMs - clockReadMs);
  }

  /**
   * Returns a time that the worker's clock has reached, from which a lease may be given; empty if
   * none is known. Before the first answer it is the one of the registration, which is older.
   */
  OptionalLong leaseBase(long nowMs) {
    if (isClockKnown()) {
      return OptionalLong.of(clockAt(nowMs));
    }
    return entry.clockMs() > 0 ? OptionalLong.of(entry.clockMs()) : OptionalLong.empty();
  }

  boolean isClockKnown() {
    return clockReadMs >= 0;
  }

  /** Takes note that an order or a look extends the lease. */
  void leaseExtended(long nowMs, DispatchPolicy policy) {
    leaseExpiryMs = Math.max(leaseExpiryMs, nowMs + policy.longestLeaseMs());
  }

  /** Moves the acknowledgement up to the first end that is not kept yet. */
  boolean advanceAcknowledgement() {
    long before = acknowledgedEnd;
    for (Iterator<UnacknowledgedEnd> it = unacknowledgedEnds.iterator(); it.hasNext(); ) {
      UnacknowledgedEnd end = it.next();
      if (end.job() != null && end.job().persistedVersion < end.version()) {
        break;
      }
      acknowledgedEnd = end.number();
      it.remove();
    }
    return acknowledgedEnd > before;
  }

  void suspend(long nowMs) {
    suspendedUntilMs = nowMs + nextSuspensionMs;
    nextSuspensionMs = Math.min(nextSuspensionMs * 2, MAX_SUSPENSION_MS);
    consecutiveFailures = 0;
  }

  void resetFailures() {
    consecutiveFailures = 0;
    nextSuspensionMs = INITIAL_SUSPENSION_MS;
  }

  /** Forgets all that an earlier life of the worker knew. */
  void restarted(long startedAtMs) {
    incarnation = startedAtMs;
    lastEndSeen = 0;
    acknowledgedEnd = 0;
    unacknowledgedEnds.clear();
    clockReadMs = -1;
    suspendedUntilMs = 0;
    resetFailures();
  }
}
