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
import org.plantainloom.program.slopes.SlopesSettings.Watched;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.HybridClock;
import org.plantainloom.transport.http.JsonClient;

/** One step of a measurement: a window over running processes, or the fit over all windows. */
final class SlopesRun {
  private static final double TICKS_PER_SECOND = 100; // USER_HZ on Linux
  private static final double MS_PER_SECOND = 1_000;
  private static final double BYTES_PER_KB = 1_000;
  private static final double KB_PER_MB = 1_024;

  private SlopesRun() {}

  static ExitCode run(SlopesSettings settings) throws IOException, InterruptedException {
    LogLevel.ERROR.apply();
    if (settings.processes().isEmpty()) {
      Fit.print(System.out, Path.of(settings.samples()));
      UnitSizes.print(System.out);
      return ExitCode.OK;
    }
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    try (JsonClient client = JsonClient.create(clock, new MetricRegistry())) {
      List<Reading> before = readAll(client, settings);
      long startedMs = System.currentTimeMillis();
      Thread.sleep(Duration.ofSeconds(settings.seconds()).toMillis());
      List<Reading> after = readAll(client, settings);
      double seconds = (System.currentTimeMillis() - startedMs) / MS_PER_SECOND;
      for (int i = 0; i < before.size(); i++) {
        Watched process = settings.processes().get(i);
        append(settings, sample(settings, process, before.get(i), after.get(i), seconds));
      }
    }
    return ExitCode.OK;
  }

  private static List<Reading> readAll(JsonClient client, SlopesSettings settings)
      throws IOException {
    List<Reading> readings = new ArrayList<>();
    for (Watched process : settings.processes()) {
      readings.add(Reading.of(client, process));
    }
    return readings;
  }

  private static Sample sample(
      SlopesSettings settings, Watched process, Reading before, Reading after, double seconds) {
    double cpuSeconds = (after.cpuTicks() - before.cpuTicks()) / TICKS_PER_SECOND;
    return new Sample(
        process.role(),
        settings.workers(),
        100 * cpuSeconds / seconds,
        after.rssKb() / KB_PER_MB,
        (after.wireBytes() - before.wireBytes()) / BYTES_PER_KB / seconds,
        (after.storeReads() - before.storeReads()) / seconds,
        (after.storeWrites() - before.storeWrites()) / seconds);
  }

  private static void append(SlopesSettings settings, Sample sample) throws IOException {
    String line = Json.write(sample) + System.lineSeparator();
    System.out.print(line);
    Files.writeString(
        Path.of(settings.samples()), line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }
}
