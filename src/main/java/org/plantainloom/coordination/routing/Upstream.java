package org.plantainloom.coordination.routing;

import org.plantainloom.coordination.plan.Route;

/** One replica as a gateway sees it: requests in flight, latency, failures. */
final class Upstream {
  private static final double LATENCY_WEIGHT = 0.2;
  private static final int FAILURES_TO_EJECT = 3;
  private static final long EJECTION_MS = 1_000;
  private static final long EJECTION_MAX_MS = 10_000;
  private static final long REPORT_VALIDITY_MS = 200;

  private Route route;
  private int inFlight;
  private double latencyMs;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilMs;
  private int reported;
  private long reportedAtMs = Long.MIN_VALUE / 2;
  private int sentSinceReport;

  Upstream(Route route) {
    this.route = route;
  }

  Route route() {
    return route;
  }

  void reroute(Route newRoute) {
    route = newRoute;
  }

  int inFlight() {
    return inFlight;
  }

  boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  SlotUse use(int gateways, long nowMs) {
    boolean fresh = nowMs - reportedAtMs < REPORT_VALIDITY_MS;
    int known = fresh ? reported + sentSinceReport : route.slots();
    return new SlotUse(inFlight, known, route.slots(), gateways);
  }

  /** Returns the expected wait: requests in flight, the new one included, times recent latency. */
  double cost() {
    return (inFlight + 1) * Math.max(1, latencyMs);
  }

  void sent() {
    inFlight++;
    sentSinceReport++;
  }

  void ended(AttemptFeedback feedback, long nowMs) {
    inFlight--;
    feedback
        .reportedInFlight()
        .ifPresent(
            r -> {
              reported = r;
              reportedAtMs = nowMs;
              sentSinceReport = 0;
            });
    if (feedback.healthy()) {
      consecutiveFailures = 0;
      ejections = 0;
      latencyMs += LATENCY_WEIGHT * (feedback.latencyMs() - latencyMs);
    } else if (feedback.countsAsFailure()) {
      failed(nowMs);
    }
  }

  // A replica that fails fast would otherwise look like the least loaded one.
  private void failed(long nowMs) {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_TO_EJECT) {
      ejections++;
      long pauseMs = EJECTION_MS << Math.min(ejections - 1, 4);
      ejectedUntilMs = nowMs + Math.min(EJECTION_MAX_MS, pauseMs);
      consecutiveFailures = FAILURES_TO_EJECT - 1;
    }
  }
}
