package org.plantainloom.transport.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.concurrent.TimeUnit;

/** Formats metrics as lines of text with a name and a number each. */
public final class MetricsText {
  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private MetricsText() {}

  /**
   * Returns each counter, each gauge that has a number, and for each timer its count and its
   * quantiles in milliseconds.
   */
  public static String of(MetricRegistry metrics) {
    StringBuilder text = new StringBuilder();
    metrics.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
    metrics
        .getGauges()
        .forEach(
            (name, gauge) -> {
              if (gauge.getValue() instanceof Number number) {
                appendLine(text, name, number);
              }
            });
    metrics
        .getTimers()
        .forEach(
            (name, timer) -> {
              Snapshot snapshot = timer.getSnapshot();
              appendLine(text, name + ".count", timer.getCount());
              appendLine(text, name + ".p50_ms", snapshot.getMedian() / NANOS_PER_MS);
              appendLine(text, name + ".p99_ms", snapshot.get99thPercentile() / NANOS_PER_MS);
            });
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, Number value) {
    text.append(name.replace('.', '_').replace('-', '_')).append(' ').append(value).append('\n');
  }
}
