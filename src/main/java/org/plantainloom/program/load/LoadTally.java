package org.plantainloom.program.load;

import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts what became of the readings, as the callers see it. */
final class LoadTally {
  private static final long MAX_LATENCY_MS = 120_000;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private final AtomicInteger unknown = new AtomicInteger();
  private final AtomicInteger givenUp = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();
  private final Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_MS, 3);

  void answered(long elapsedMs, boolean right) {
    (right ? answered : wrong).incrementAndGet();
    latencies.recordValue(Math.min(MAX_LATENCY_MS, elapsedMs));
  }

  void refused() {
    refusals.incrementAndGet();
  }

  void unknown() {
    unknown.incrementAndGet();
  }

  void givenUp() {
    givenUp.incrementAndGet();
  }

  int answeredCount() {
    return answered.get();
  }

  /** Returns readings whose caller got no right answer. */
  int lostCount() {
    return wrong.get() + unknown.get() + givenUp.get();
  }

  int refusedCount() {
    return refusals.get();
  }

  long percentileMs(double percentile) {
    return latencies.getValueAtPercentile(percentile);
  }

  @Override
  public String toString() {
    return "answered="
        + answered
        + " wrong="
        + wrong
        + " unknown="
        + unknown
        + " given-up="
        + givenUp
        + " refusals="
        + refusals;
  }
}
