package org.plantainloom.transport.gateway;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/** Metrics of the gateway's requests, by outcome. */
final class GatewayMeters {
  private final Timer answered;
  private final Meter notRun;
  private final Meter unknown;
  private final Meter retries;
  private final Meter acrossRegions;

  GatewayMeters(MetricRegistry metrics) {
    this.answered = metrics.timer("requests.answered");
    this.notRun = metrics.meter("requests.not-run");
    this.unknown = metrics.meter("requests.unknown");
    this.retries = metrics.meter("requests.retries");
    this.acrossRegions = metrics.meter("requests.across-regions");
  }

  void answered(long elapsedMs) {
    answered.update(elapsedMs, TimeUnit.MILLISECONDS);
  }

  void notRun() {
    notRun.mark();
  }

  void unknown() {
    unknown.mark();
  }

  void retried() {
    retries.mark();
  }

  void sentAcrossRegions() {
    acrossRegions.mark();
  }
}
