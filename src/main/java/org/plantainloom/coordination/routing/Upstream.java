package org.plantainloom.coordination.routing;

import org.plantainloom.coordination.plan.Route;

/** State of one replica as seen by a gateway: requests in flight, latency and failures. */
final class Upstream {
  private static final double LATENCY_WEIGHT = 0.2;
  private static final int FAILURES_TO_EJECT = 3;
  private static final long BASE_EJECTION_MS = 1_000;
  private static final long MAX_EJECTION_MS = 10_000;
  private static final long REPORT_VALIDITY_MS = 200;

  private Route route;
  private int inFlight;
  private double latencyMs;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilMs;
  private int reportedInFlight;
  private long reportedAtMs = Long.MIN_VALUE / 2;
  private int sentSinceReport;

  Upstream(Route route) {
    this.route = route;
  }

  Route route() {
    return route;
  }

  void updateRoute(Route newRoute) {
    route = newRoute;
  }

  int inFlight() {
    return inFlight;
  }

  boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  SlotUse slotUse(int gateways, long nowMs) {
    boolean fresh = nowMs - reportedAtMs < REPORT_VALIDITY_MS;
    int occupied = fresh ? reportedInFlight + sentSinceReport : route.slots();
    return new SlotUse(inFlight, occupied, route.slots(), gateways);
  }

  /**
   * Returns the expected response time: requests in flight including a new one, times recent
   * latency.
   */
  double cost() {
    return (inFlight + 1) * Math.max(1, latencyMs);
  }

  void recordSent() {
    inFlight++;
    sentSinceReport++;
  }

  void recordEnd(AttemptFeedback feedback, long nowMs) {
    inFlight--;
    feedback
        .reportedInFlight()
        .ifPresent(
            r -> {
              reportedInFlight = r;
              reportedAtMs = nowMs;
              sentSinceReport = 0;
            });
    if (feedback.healthy()) {
      consecutiveFailures = 0;
      ejections = 0;
      latencyMs += LATENCY_WEIGHT * (feedback.latencyMs() - latencyMs);
    } else if (feedback.countsAsFailure()) {
      recordFailure(nowMs);
    }
  }

  // Without ejection, a replica that fails fast would look like the least loaded one.
  private void recordFailure(long nowMs) {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_TO_EJECT) {
      ejections++;
      long ejectionMs = BASE_EJECTION_MS << Math.min(ejections - 1, 4);
      ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
      consecutiveFailures = FAILURES_TO_EJECT - 1;
    }
  }
}
