package org.plantainloom.transport.platform;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/** Counts the calls to the store by type, since each call has a cost. */
final class StoreCallMeters {
  private final Meter reads;
  private final Meter lists;
  private final Meter writes;
  private final Meter leases;
  private final Meter watches;
  private final Meter failures;

  StoreCallMeters(MetricRegistry metrics) {
    this.reads = metrics.meter("store.reads");
    this.lists = metrics.meter("store.lists");
    this.writes = metrics.meter("store.writes");
    this.leases = metrics.meter("store.leases");
    this.watches = metrics.meter("store.watches");
    this.failures = metrics.meter("store.failures");
  }

  void read() {
    reads.mark();
  }

  void list() {
    lists.mark();
  }

  void write() {
    writes.mark();
  }

  void lease() {
    leases.mark();
  }

  void watch() {
    watches.mark();
  }

  void failed() {
    failures.mark();
  }
}
