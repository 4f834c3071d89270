package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/**
 * A lasting task that ended runs again: from a time after its last run, it is not away for a while
 * that is calm, with calm before it, and in which there is room for it twice over.
 */
final class LastingTaskRule {
  /** Marks violations of this rule. */
  static final String LOST = "LOST";

  /** Time after the end of a run within which the task need not run again. */
  static final long DUE_MS = 6_000;

  /** Longest time that a task may be away once it is due. */
  static final long BOUND_MS = 3_000;

  /** Calm that is required before a task counts as away. */
  static final long CALM_BEFORE_MS = 4_000;

  private static final int ROOMS = 2;
  private static final long SCAN_STEP_MS = 50;

  private final List<String> workers;
  private final FaultTimeline faults;
  private final LongFunction<OptionalInt> owners;
  private final Map<String, SoakJob> jobs;

  LastingTaskRule(
      List<String> workers,
      Collection<SoakJob> jobs,
      FaultTimeline faults,
      LongFunction<OptionalInt> owners) {
    this.workers = workers;
    this.faults = faults;
    this.owners = owners;
    this.jobs = jobs.stream().collect(Collectors.toMap(SoakJob::id, Function.identity()));
  }

  /** Returns a violation for each time that a lasting task was away for too long. */
  List<Violation> violations(RunHistory history, long judgedUntilMs) {
    List<Violation> violations = new ArrayList<>();
    for (List<RunHistory.Entry> runs : history.byTask().values()) {
      SoakJob job = jobs.get(runs.get(0).jobId());
      if (job != null && job.longRunning() && !job.cancelRequested) {
        for (int i = 0; i < runs.size(); i++) {
          long backMs = i + 1 < runs.size() ? runs.get(i + 1).startMs() : judgedUntilMs + BOUND_MS;
          checkAbsence(job, runs.get(i), Math.min(backMs, judgedUntilMs), history, violations);
        }
      }
    }
    return violations;
  }

  private void checkAbsence(
      SoakJob job,
      RunHistory.Entry last,
      long backMs,
      RunHistory history,
      List<Violation> violations) {
    if (last.endMs().isEmpty()) {
      return;
    }
    long fromMs = last.lastMs() + DUE_MS;
    for (long atMs = fromMs; atMs + BOUND_MS <= backMs; atMs += SCAN_STEP_MS) {
      if (faults.isCalm(atMs - CALM_BEFORE_MS, atMs + BOUND_MS)
          && hasRoom(job, history, atMs, atMs + BOUND_MS)) {
        violations.add(new Violation(atMs + BOUND_MS, describe(last, backMs)));
        return;
      }
    }
  }

  /** Returns whether there was room for two tasks of a job at each moment of a time. */
  private boolean hasRoom(SoakJob job, RunHistory history, long fromMs, long toMs) {
    List<RunHistory.Entry> runs =
        history.entries().stream()
            .filter(run -> run.startMs() <= toMs && run.lastMs() > fromMs)
            .toList();
    List<Long> moments = new ArrayList<>(List.of(fromMs));
    runs.stream().map(RunHistory.Entry::startMs).filter(at -> at > fromMs).forEach(moments::add);
    return moments.stream().allMatch(atMs -> rooms(job, history, runs, atMs) >= ROOMS);
  }

  private int rooms(SoakJob job, RunHistory history, List<RunHistory.Entry> runs, long atMs) {
    Map<String, Integer> free = new HashMap<>();
    workers.stream()
        .filter(worker -> !history.isWorkerLost(worker, atMs))
        .forEach(worker -> free.put(worker, InvariantChecker.WORKER_CPU_MILLIS));
    runs.stream()
        .filter(run -> run.isActiveAt(atMs) && jobs.containsKey(run.jobId()))
        .forEach(
            run ->
                free.computeIfPresent(
                    run.run().worker(),
                    (worker, millis) -> millis - jobs.get(run.jobId()).cpuMillis()));
    return free.values().stream().mapToInt(millis -> Math.max(0, millis) / job.cpuMillis()).sum();
  }

  private String describe(RunHistory.Entry last, long backMs) {
    OptionalInt node = owners.apply(last.run().fencingToken());
    return LOST
        + " "
        + last.run().task()
        + " is away from "
        + Violation.wallMs(last.lastMs())
        + " to "
        + Violation.wallMs(backMs)
        + " ("
        + (backMs - last.lastMs())
        + " ms); its run "
        + last.run().number()
        + " from "
        + (node.isPresent() ? "node-" + node.getAsInt() : "an unknown node")
        + " (term "
        + last.run().fencingToken()
        + ") ended on "
        + last.run().worker()
        + " as "
        + last.outcome();
  }
}
