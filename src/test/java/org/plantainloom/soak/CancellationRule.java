package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/**
 * A node in touch does not start a task later than a bound after the cancellation of its job was
 * acknowledged, and in calm no task of such a job goes on for longer than a stop takes.
 */
final class CancellationRule {
  /** Marks violations of this rule. */
  static final String UNASKED = "UNASKED";

  static final long BOUND_MS = 3_000;

  /** Longest time that a worker takes to stop a task. */
  static final long STOP_GRACE_MS = 400;

  private static final long SCAN_STEP_MS = 50;

  private final FaultTimeline faults;

  /** Numbers of the nodes that own the workers, by term. */
  private final LongFunction<OptionalInt> owners;

  private final Map<String, SoakJob> jobs;

  CancellationRule(
      Collection<SoakJob> jobs, FaultTimeline faults, LongFunction<OptionalInt> owners) {
    this.jobs = jobs.stream().collect(Collectors.toMap(SoakJob::id, Function.identity()));
    this.faults = faults;
    this.owners = owners;
  }

  /** Returns a violation for each start that came too late and is not excused. */
  List<Violation> lateStarts(List<RunHistory.Entry> runs) {
    return lateStarts(runs, Long.MAX_VALUE);
  }

  /**
   * Returns a violation for each start that came too late and is not excused.
   *
   * @param longestExcuseMs time after the acknowledgement from which nothing is excused
   */
  List<Violation> lateStarts(List<RunHistory.Entry> runs, long longestExcuseMs) {
    List<Violation> violations = new ArrayList<>();
    for (RunHistory.Entry run : runs) {
      acknowledgement(run)
          .filter(ack -> isLate(run, run.startMs() - ack.atMs(), longestExcuseMs))
          .ifPresent(
              ack ->
                  violations.add(
                      new Violation(
                          run.startMs(),
                          UNASKED
                              + " started "
                              + (run.startMs() - ack.atMs())
                              + " ms after the cancellation was acknowledged: "
                              + describe(run, ack))));
    }
    return violations;
  }

  /** Returns a violation for each run that was not stopped in time. */
  List<Violation> lateStops(List<RunHistory.Entry> runs, long judgedUntilMs) {
    List<Violation> violations = new ArrayList<>();
    for (RunHistory.Entry run : runs) {
      Optional<Acknowledgement> ack = acknowledgement(run);
      if (ack.isPresent()) {
        long dueMs = run.run().delayed() ? run.startMs() + FaultTimeline.CONTACT_MS : 0;
        long fromMs = Math.max(Math.max(ack.get().atMs(), run.startMs() - BOUND_MS), dueMs);
        long untilMs = Math.min(run.lastMs(), judgedUntilMs) - BOUND_MS - STOP_GRACE_MS;
        for (long atMs = fromMs; atMs < untilMs; atMs += SCAN_STEP_MS) {
          if (faults.isCalm(atMs - FaultTimeline.CONTACT_MS, atMs + BOUND_MS + STOP_GRACE_MS)) {
            violations.add(
                new Violation(
                    atMs + BOUND_MS + STOP_GRACE_MS,
                    UNASKED + " not stopped in calm: " + describe(run, ack.get())));
            break;
          }
        }
      }
    }
    return violations;
  }

  private boolean isLate(RunHistory.Entry run, long sinceAckMs, long longestExcuseMs) {
    return sinceAckMs > BOUND_MS && (sinceAckMs > longestExcuseMs || !isExcused(run));
  }

  private Optional<Acknowledgement> acknowledgement(RunHistory.Entry run) {
    return Optional.ofNullable(jobs.get(run.jobId())).flatMap(SoakJob::cancelAcknowledgement);
  }

  /** Returns whether the start was carried out late, or its node not in touch. */
  private boolean isExcused(RunHistory.Entry run) {
    OptionalInt node = owners.apply(run.run().fencingToken());
    if (run.run().delayed()) {
      return true;
    }
    int worker = SoakNetwork.workerNumber(run.run().worker());
    return node.isPresent()
        && (!faults.isInTouch(node.getAsInt(), run.startMs())
            || faults.isHeldUp(node.getAsInt(), worker, run.startMs()));
  }

  private String describe(RunHistory.Entry run, Acknowledgement ack) {
    OptionalInt node = owners.apply(run.run().fencingToken());
    return run.run().task()
        + " run "
        + run.run().number()
        + " on "
        + run.run().worker()
        + " started at "
        + Violation.wallMs(run.startMs())
        + " by "
        + (node.isPresent() ? "node-" + node.getAsInt() : "an unknown node")
        + " (term "
        + run.run().fencingToken()
        + "), "
        + run.outcome()
        + "; "
        + ack;
  }
}
