package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Beside planned work, the connection of a request does not end without a complete response once a
 * node had time to read the request.
 */
final class CutRequestRule {
  /** Time within which a connection that was closed already ends. */
  static final long SLACK_MS = 200;

  /** Part of its time after which a request is not judged beside a configuration. */
  private static final double USED_PART = 0.7;

  /** How many times as often as usual requests have to be cut beside a configuration. */
  private static final int TIMES_AS_OFTEN = 3;

  private final PlannedWork work;
  private final FaultTimeline faults;

  CutRequestRule(PlannedWork work, FaultTimeline faults) {
    this.work = work;
    this.faults = faults;
  }

  /** Returns a violation for each request that was cut beside planned work. */
  List<Violation> violations(List<Exchange> exchanges) {
    List<Violation> violations = new ArrayList<>();
    for (Exchange exchange : exchanges) {
      if (isCutInCalm(exchange)) {
        cause(exchange, exchanges)
            .ifPresent(
                item ->
                    violations.add(
                        new Violation(
                            exchange.endMs(),
                            LastingTaskRule.LOST + " cut beside " + item + ": " + exchange)));
      }
    }
    return violations;
  }

  /** Returns the number of requests that were open for longer than the slack beside such work. */
  long judged(List<Exchange> exchanges) {
    return exchanges.stream()
        .filter(exchange -> exchange.end() != Exchange.End.NOT_SENT)
        .filter(this::isLongInCalm)
        .filter(
            exchange ->
                work.signalBeside(exchange)
                    .or(() -> work.configurationBeside(exchange))
                    .isPresent())
        .count();
  }

  private Optional<PlannedWork.Item> cause(Exchange cut, List<Exchange> exchanges) {
    return work.signalBeside(cut)
        .or(
            () ->
                work.configurationBeside(cut)
                    .filter(item -> cut.durationMs() < USED_PART * Exchange.DEADLINE_MS)
                    .filter(item -> cutsMoreBesideConfigurations(cut.node(), exchanges)));
  }

  private boolean isCutInCalm(Exchange exchange) {
    return exchange.end() == Exchange.End.CUT && isLongInCalm(exchange);
  }

  private boolean isLongInCalm(Exchange exchange) {
    return exchange.durationMs() > SLACK_MS
        && exchange.durationMs() < Exchange.DEADLINE_MS
        && faults.isWithoutImpairment(
            exchange.sentMs() - FaultTimeline.CONTACT_MS, exchange.endMs());
  }

  private boolean cutsMoreBesideConfigurations(int node, List<Exchange> exchanges) {
    List<Exchange> ofNode =
        exchanges.stream()
            .filter(exchange -> exchange.node() == node)
            .filter(exchange -> exchange.end() != Exchange.End.NOT_SENT)
            .toList();
    Predicate<Exchange> beside = exchange -> work.configurationBeside(exchange).isPresent();
    return cutShare(ofNode, beside) > TIMES_AS_OFTEN * cutShare(ofNode, beside.negate());
  }

  private static double cutShare(List<Exchange> exchanges, Predicate<Exchange> filter) {
    List<Exchange> filtered = exchanges.stream().filter(filter).toList();
    long cuts = filtered.stream().filter(exchange -> exchange.end() == Exchange.End.CUT).count();
    return filtered.isEmpty() ? 0 : (double) cuts / filtered.size();
  }
}
