package org.plantainloom.program.load;

import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of the readings and records their latencies, as the callers see them. */
final class LoadStatistics {
  private static final long MAX_LATENCY_MS = 120_000;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger incorrect = new AtomicInteger();
  private final AtomicInteger unknown = new AtomicInteger();
  private final AtomicInteger givenUp = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();
  private final Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_MS, 3);

  void recordAnswer(long elapsedMs, boolean correct) {
    (correct ? answered : incorrect).incrementAndGet();
    latencies.recordValue(Math.min(MAX_LATENCY_MS, elapsedMs));
  }

  void recordRefusal() {
    refusals.incrementAndGet();
  }

  void recordUnknown() {
    unknown.incrementAndGet();
  }

  void recordGivenUp() {
    givenUp.incrementAndGet();
  }

  int answeredCount() {
    return answered.get();
  }

  /** Returns the number of readings whose caller got no correct answer. */
  int lostCount() {
    return incorrect.get() + unknown.get() + givenUp.get();
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
        + incorrect
        + " unknown="
        + unknown
        + " given-up="
        + givenUp
        + " refusals="
        + refusals;
  }
}
