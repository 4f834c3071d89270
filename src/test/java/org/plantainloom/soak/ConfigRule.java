package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;

/**
 * A configuration is in force in time, and no node goes back to an older one.
 *
 * <p>A node in touch handles a request that was sent later than {@link #APPLY_MS} after a version
 * was acknowledged as that version or a newer one says. In one life of its process, a node handles
 * no request as only an older version says once an earlier response has shown a newer one, whether
 * it is in touch or not.
 */
final class ConfigRule {
  static final String NOT_IN_FORCE = "CONFIG not in force";
  static final String WENT_BACK = "CONFIG went back";

  /** Time after its acknowledgement within which a version is in force. */
  static final long APPLY_MS = PlannedWork.CONFIG_APPLY_MS;

  /** A request that is sent within this time of a response may be handled before it. */
  static final long DOWNGRADE_SLACK_MS = 250;

  private final List<ConfigVersion> versions;
  private final FaultTimeline timeline;

  /** A process of a node. */
  private record Life(int node, int number) {}

  /** A response that shows that a node knew a version or a newer one. */
  private record Evidence(int version, long endMs) {}

  /** A job that a node has accepted, and the queue that it was submitted to. */
  record Submission(String queue, long sentMs) {}

  /**
   * Creates the rule.
   *
   * @param versions all versions in their order
   */
  ConfigRule(List<ConfigVersion> versions, FaultTimeline timeline) {
    this.versions = versions;
    this.timeline = timeline;
  }

  /**
   * Returns the responses that a node in touch gave by a version that was not in force any more.
   */
  List<Violation> notInForce(List<QueueExchange> exchanges) {
    return exchanges.stream()
        .filter(this::isJudged)
        .filter(answer -> possible(answer).stream().noneMatch(answer::isAllowedBy))
        .map(
            answer ->
                new Violation(
                    answer.exchange().endMs(),
                    NOT_IN_FORCE
                        + ": "
                        + answer
                        + ", in force: version "
                        + possible(answer).get(0).version()
                        + ", acknowledged "
                        + (answer.exchange().sentMs() - possible(answer).get(0).ackMs())
                        + " ms before"))
        .toList();
  }

  /** Returns the number of responses that would break the rule if they were the opposite. */
  long judged(List<QueueExchange> exchanges) {
    return exchanges.stream()
        .filter(this::isJudged)
        .filter(answer -> possible(answer).stream().allMatch(answer::isAllowedBy))
        .count();
  }

  private boolean isJudged(QueueExchange answer) {
    Exchange exchange = answer.exchange();
    return answer.isTelling()
        && timeline.isInTouch(exchange.node(), exchange.sentMs())
        && timeline.isInTouch(exchange.node(), exchange.endMs());
  }

  private List<ConfigVersion> possible(QueueExchange answer) {
    return possible(answer.exchange().sentMs(), answer.exchange().endMs());
  }

  /** Returns the versions by which a request may be handled, the oldest first. */
  private List<ConfigVersion> possible(long sentMs, long handledMs) {
    int first = 0;
    for (int i = 0; i < versions.size() && versions.get(i).ackMs() + APPLY_MS < sentMs; i++) {
      first = i;
    }
    return versions.subList(first, versions.size()).stream()
        .filter(version -> version.sentMs() <= handledMs)
        .toList();
  }

  /** Returns the responses that only an older version allows than one which a node has shown. */
  List<Violation> wentBack(List<QueueExchange> exchanges) {
    List<Violation> violations = new ArrayList<>();
    Map<Life, List<Evidence>> shown = new HashMap<>();
    List<QueueExchange> byEnd =
        exchanges.stream()
            .filter(QueueExchange::isTelling)
            .sorted((a, b) -> Long.compare(a.exchange().endMs(), b.exchange().endMs()))
            .toList();
    for (QueueExchange answer : byEnd) {
      Exchange exchange = answer.exchange();
      Life life = new Life(exchange.node(), answer.life());
      List<Evidence> evidence = shown.computeIfAbsent(life, unused -> new ArrayList<>());
      int known =
          evidence.stream()
              .filter(earlier -> earlier.endMs() + DOWNGRADE_SLACK_MS < exchange.sentMs())
              .mapToInt(Evidence::version)
              .max()
              .orElse(0);
      OptionalInt newest =
          versions.stream()
              .filter(version -> version.sentMs() <= exchange.endMs())
              .filter(answer::isAllowedBy)
              .mapToInt(ConfigVersion::version)
              .max();
      if (newest.isPresent() && newest.getAsInt() < known) {
        violations.add(
            new Violation(
                exchange.endMs(),
                WENT_BACK + ": " + answer + ", version " + known + " was shown before"));
      }
      versions.stream()
          .filter(answer::isAllowedBy)
          .findFirst()
          .ifPresent(oldest -> evidence.add(new Evidence(oldest.version(), exchange.endMs())));
    }
    return violations;
  }

  /**
   * Returns the starts that an owner in touch ordered on workers of a service to which no version
   * in force sent the job's queue.
   *
   * @param serviceOf returns the service of a worker
   * @param owner returns the node that had a term
   */
  List<Violation> startedElsewhere(
      List<RunHistory.Entry> runs,
      Map<String, Submission> submissions,
      UnaryOperator<String> serviceOf,
      LongFunction<OptionalInt> owner) {
    List<Violation> violations = new ArrayList<>();
    for (RunHistory.Entry run : runs) {
      Optional<Submission> submission = Optional.ofNullable(submissions.get(run.jobId()));
      OptionalInt node = owner.apply(run.run().fencingToken());
      if (submission.isEmpty()
          || node.isEmpty()
          || !timeline.isInTouch(node.getAsInt(), run.startMs())) {
        continue;
      }
      String queue = submission.get().queue();
      List<ConfigVersion> withQueue =
          possible(submission.get().sentMs(), run.startMs()).stream()
              .filter(version -> version.hasQueue(queue))
              .toList();
      String service = serviceOf.apply(run.run().worker());
      if (!withQueue.isEmpty()
          && withQueue.stream()
              .noneMatch(version -> version.services().get(queue).equals(service))) {
        violations.add(
            new Violation(
                run.startMs(),
                NOT_IN_FORCE
                    + ": "
                    + run.run()
                    + " of queue "
                    + queue
                    + " started at "
                    + service
                    + " by node-"
                    + node.getAsInt()));
      }
    }
    return violations;
  }
}
