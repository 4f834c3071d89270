package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A job is shown as failed only after all attempts of a task failed, and as cancelled only if a
 * caller cancelled it.
 */
final class JobStateRule {
  /** Number of runs of a task that may fail, in the configuration of the simulated platform. */
  static final int MAX_ATTEMPTS = 3;

  private final Map<String, SoakJob> jobs;
  private final RunHistory history;

  JobStateRule(Collection<SoakJob> jobs, RunHistory history) {
    this.jobs = jobs.stream().collect(Collectors.toMap(SoakJob::id, Function.identity()));
    this.history = history;
  }

  /** Returns a violation for the first response that showed a job in a state without cause. */
  List<Violation> violations(ExchangeLog log) {
    List<Violation> violations = new ArrayList<>();
    Set<String> shown = new HashSet<>();
    for (Exchange exchange : log.all()) {
      SoakJob job = jobs.get(exchange.jobId());
      boolean unfounded =
          exchange.isAnswer("GET")
              && job != null
              && switch (exchange.state()) {
                case "failed" -> !mayHaveFailed(job, history, exchange.endMs());
                case "cancelled" -> !log.isCancelSent(job.id(), exchange.endMs());
                default -> false;
              };
      if (unfounded && shown.add(job.id())) {
        violations.add(
            new Violation(
                exchange.endMs(),
                LastingTaskRule.LOST
                    + " shown as "
                    + exchange.state()
                    + " without cause: "
                    + exchange
                    + "; runs of its tasks ended as "
                    + outcomes(job)));
      }
    }
    return violations;
  }

  /** Returns whether the workers ended so many runs of a task as failed that its job has failed. */
  static boolean mayHaveFailed(SoakJob job, RunHistory history, long atMs) {
    return !job.longRunning()
        && history.entries().stream()
            .filter(run -> run.jobId().equals(job.id()) && run.lastMs() <= atMs)
            .filter(run -> run.outcome().equals("failed"))
            .collect(Collectors.groupingBy(run -> run.run().task(), Collectors.counting()))
            .values()
            .stream()
            .anyMatch(failed -> failed >= MAX_ATTEMPTS);
  }

  private String outcomes(SoakJob job) {
    return history.entries().stream()
        .filter(run -> run.jobId().equals(job.id()) && !run.outcome().equals("done"))
        .collect(
            Collectors.groupingBy(
                run -> run.run().task(),
                Collectors.mapping(RunHistory.Entry::outcome, Collectors.toList())))
        .toString();
  }
}
