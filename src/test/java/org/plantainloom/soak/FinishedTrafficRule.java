package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** A time after the end of the traffic, each accepted job is known, and its state told in time. */
final class FinishedTrafficRule {
  /** Time from the end of the traffic to the queries. */
  static final long BOUND_MS = 14_000;

  private final long askedFromMs;

  /**
   * Creates the rule.
   *
   * @param askedFromMs when the queries began
   */
  FinishedTrafficRule(long askedFromMs) {
    this.askedFromMs = askedFromMs;
  }

  /** Returns a violation for each accepted job that is not known or whose state is not told. */
  List<Violation> violations(Collection<SoakJob> jobs, ExchangeLog log) {
    Map<String, List<Exchange>> queries =
        log.queriesFrom(askedFromMs).stream().collect(Collectors.groupingBy(Exchange::jobId));
    List<Violation> violations = new ArrayList<>();
    for (SoakJob job : jobs) {
      if (log.acceptedMs(job.id()).isPresent()) {
        check(job, queries.getOrDefault(job.id(), List.of()), log, violations);
      }
    }
    return violations;
  }

  private void check(
      SoakJob job, List<Exchange> queries, ExchangeLog log, List<Violation> violations) {
    OptionalLong firstMs = queries.stream().mapToLong(Exchange::sentMs).min();
    long dueMs = firstMs.orElse(askedFromMs) + Exchange.DEADLINE_MS;
    List<Exchange> answers =
        queries.stream()
            .filter(query -> query.isAnswer("GET") && query.endMs() <= dueMs)
            .filter(query -> query.isSuccess() || query.status() == Exchange.GONE)
            .toList();
    if (answers.isEmpty()) {
      violations.add(
          new Violation(
              dueMs,
              LastingTaskRule.LOST
                  + " not answered: "
                  + job.id()
                  + ", asked "
                  + queries.size()
                  + " times, at last "
                  + queries.stream().reduce((first, last) -> last)));
    }
    answers.stream()
        .filter(answer -> answer.status() == Exchange.GONE)
        .filter(answer -> !log.isCancelSent(job.id(), answer.endMs()))
        .findFirst()
        .ifPresent(
            answer ->
                violations.add(
                    new Violation(
                        answer.endMs(),
                        LastingTaskRule.LOST + " not known at the end: " + answer)));
  }
}
