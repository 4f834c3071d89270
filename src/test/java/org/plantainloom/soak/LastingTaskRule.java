package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Collection;
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
    WorkerCapacity capacity = new WorkerCapacity(workers, jobs.values(), history);
    for (List<RunHistory.Entry> runs : history.byTask().values()) {
      SoakJob job = jobs.get(runs.get(0).jobId());
      if (job != null && job.longRunning() && !job.cancelRequested) {
        for (int i = 0; i < runs.size(); i++) {
          long backMs = i + 1 < runs.size() ? runs.get(i + 1).startMs() : judgedUntilMs + BOUND_MS;
          checkAbsence(job, runs.get(i), Math.min(backMs, judgedUntilMs), capacity, violations);
        }
      }
    }
    return violations;
  }

  private void checkAbsence(
      SoakJob job,
      RunHistory.Entry last,
      long backMs,
      WorkerCapacity capacity,
      List<Violation> violations) {
    if (last.endMs().isEmpty()) {
      return;
    }
    long fromMs = last.lastMs() + DUE_MS;
    for (long atMs = fromMs; atMs + BOUND_MS <= backMs; atMs += SCAN_STEP_MS) {
      if (faults.isCalm(atMs - CALM_BEFORE_MS, atMs + BOUND_MS)
          && capacity.hasRoom(job, ROOMS, atMs, atMs + BOUND_MS)) {
        violations.add(new Violation(atMs + BOUND_MS, describe(last, backMs)));
        return;
      }
    }
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
