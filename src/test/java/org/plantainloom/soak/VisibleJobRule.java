package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * From a time after its acknowledgement, a job that nobody has cancelled is known at each node that
 * is in touch.
 */
final class VisibleJobRule {
  /** Time after the acknowledgement within which a node need not know the job. */
  static final long BOUND_MS = 3_000;

  /** How long the state of a job that is over is kept. */
  static final long KEPT_MS = 120_000;

  private final FaultTimeline faults;

  VisibleJobRule(FaultTimeline faults) {
    this.faults = faults;
  }

  /** Returns a violation for each response that denied a job. */
  List<Violation> violations(ExchangeLog log) {
    List<Violation> violations = new ArrayList<>();
    for (Exchange exchange : log.all()) {
      OptionalLong acceptedMs = log.acceptedMs(exchange.jobId());
      if (exchange.isAnswer("GET")
          && exchange.status() == Exchange.GONE
          && acceptedMs.isPresent()) {
        long sinceMs = exchange.endMs() - acceptedMs.getAsLong();
        if (sinceMs > BOUND_MS
            && sinceMs < KEPT_MS
            && !log.isCancelSent(exchange.jobId(), exchange.endMs())
            && faults.isInTouch(exchange.node(), exchange.endMs())) {
          violations.add(
              new Violation(
                  exchange.endMs(),
                  LastingTaskRule.LOST
                      + " denied "
                      + sinceMs
                      + " ms after it was accepted: "
                      + exchange));
        }
      }
    }
    return violations;
  }
}
