package org.plantainloom.program.slopes;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.LogLevel;
import org.plantainloom.program.slopes.SlopesSettings.MonitoredProcess;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.HybridClock;
import org.plantainloom.transport.http.JsonClient;

/** Measures running processes over a window, or prints the regression over all samples. */
final class SlopesMeasurement {
  private static final double TICKS_PER_SECOND = 100; // USER_HZ on Linux
  private static final double MS_PER_SECOND = 1_000;
  private static final double BYTES_PER_KB = 1_000;
  private static final double KB_PER_MB = 1_024;

  private SlopesMeasurement() {}

  static ExitCode run(SlopesSettings settings) throws IOException, InterruptedException {
    LogLevel.ERROR.apply();
    if (settings.processes().isEmpty()) {
      CostRegression.print(System.out, Path.of(settings.samples()));
      SerializedSizes.print(System.out);
      return ExitCode.OK;
    }
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    try (JsonClient client = JsonClient.create(clock, new MetricRegistry())) {
      List<ProcessCounters> before = readAll(client, settings);
      long startedMs = System.currentTimeMillis();
      Thread.sleep(Duration.ofSeconds(settings.seconds()).toMillis());
      List<ProcessCounters> after = readAll(client, settings);
      double seconds = (System.currentTimeMillis() - startedMs) / MS_PER_SECOND;
      for (int i = 0; i < before.size(); i++) {
        MonitoredProcess process = settings.processes().get(i);
        append(settings, sample(settings, process, before.get(i), after.get(i), seconds));
      }
    }
    return ExitCode.OK;
  }

  private static List<ProcessCounters> readAll(JsonClient client, SlopesSettings settings)
      throws IOException {
    List<ProcessCounters> counters = new ArrayList<>();
    for (MonitoredProcess process : settings.processes()) {
      counters.add(ProcessCounters.of(client, process));
    }
    return counters;
  }

  private static CostSample sample(
      SlopesSettings settings,
      MonitoredProcess process,
      ProcessCounters before,
      ProcessCounters after,
      double seconds) {
    double cpuSeconds = (after.cpuTicks() - before.cpuTicks()) / TICKS_PER_SECOND;
    return new CostSample(
        process.role(),
        settings.workers(),
        100 * cpuSeconds / seconds,
        after.rssKb() / KB_PER_MB,
        (after.wireBytes() - before.wireBytes()) / BYTES_PER_KB / seconds,
        (after.storeReads() - before.storeReads()) / seconds,
        (after.storeWrites() - before.storeWrites()) / seconds);
  }

  private static void append(SlopesSettings settings, CostSample sample) throws IOException {
    String line = Json.write(sample) + System.lineSeparator();
    System.out.print(line);
    Files.writeString(
        Path.of(settings.samples()), line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }
}
