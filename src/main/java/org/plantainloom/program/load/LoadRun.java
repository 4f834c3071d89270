package org.plantainloom.program.load;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.LogLevel;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.LedgerSummary;
import org.plantainloom.state.HybridClock;
import org.plantainloom.transport.gateway.UpstreamClient;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;

/** One load run: sends all readings at a steady rate, then compares the answers with what ran. */
final class LoadRun {
  private static final long LEDGER_TIMEOUT_MS = 2_000;
  private static final long BATCH_TIMEOUT_MS = 20_000;
  private static final long LEDGER_POLL_INTERVAL_MS = 250;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final LoadSettings settings;
  private final LoadStatistics statistics = new LoadStatistics();

  private LoadRun(LoadSettings settings) {
    this.settings = settings;
  }

  static ExitCode run(LoadSettings settings) throws InterruptedException {
    LogLevel.WARN.apply();
    return new LoadRun(settings).run();
  }

  private ExitCode run() throws InterruptedException {
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "callers"));
    try (JsonClient client = JsonClient.create(clock, new MetricRegistry());
        UpstreamClient callers = new UpstreamClient();
        ReadyGateways gateways = new ReadyGateways(settings.gateways(), client)) {
      sendAll(new Caller(settings, gateways, callers, statistics, timer), timer);
      LedgerSummary ledger = awaitBatch(client);
      return report(ledger);
    } finally {
      timer.shutdownNow();
    }
  }

  private void sendAll(Caller caller, ScheduledExecutorService timer) {
    List<CompletableFuture<Void>> sent = new ArrayList<>();
    long intervalNanos = NANOS_PER_SECOND / settings.ratePerSecond();
    long delayNanos = 0;
    for (ScaleReading reading : ReadingGenerator.generate(settings.seed(), settings.readings())) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      ScheduledFuture<?> start =
          timer.schedule(() -> caller.send(reading, done), delayNanos, TimeUnit.NANOSECONDS);
      if (!start.isCancelled()) {
        sent.add(done);
      }
      delayNanos += intervalNanos;
    }
    CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new)).join();
  }

  private LedgerSummary awaitBatch(JsonClient client) throws InterruptedException {
    long deadlineMs = System.currentTimeMillis() + BATCH_TIMEOUT_MS;
    LedgerSummary ledger = fetchLedger(client);
    while (ledger.tasksFinished() < settings.expectedBatchTasks()
        && System.currentTimeMillis() < deadlineMs) {
      Thread.sleep(LEDGER_POLL_INTERVAL_MS);
      ledger = fetchLedger(client);
    }
    return ledger;
  }

  private LedgerSummary fetchLedger(JsonClient client) {
    HttpReply reply = client.get(settings.standin(), "/ledger", LEDGER_TIMEOUT_MS).join();
    return Json.read(reply.body(), LedgerSummary.class);
  }

  private ExitCode report(LedgerSummary ledger) {
    System.out.printf(
        "readings sent=%d answered=%d lost=%d doubled=%d refused-not-run=%d"
            + " batch tasks finished=%d run twice=%d overlaps=%d overcommits=%d"
            + " latency p50=%dms p99=%dms%n",
        settings.readings(),
        statistics.answeredCount(),
        statistics.lostCount(),
        ledger.requestsDoubled(),
        statistics.refusedCount(),
        ledger.tasksFinished(),
        ledger.tasksFinishedTwice(),
        ledger.taskOverlaps(),
        ledger.overcommits(),
        statistics.percentileMs(50),
        statistics.percentileMs(99));
    boolean passed =
        statistics.lostCount() == 0
            && statistics.answeredCount() == settings.readings()
            && ledger.requestsRun() == settings.readings()
            && ledger.requestsDoubled() == 0
            && ledger.tasksFinishedTwice() == 0
            && ledger.taskOverlaps() == 0
            && ledger.repeatedStarts() == 0
            && ledger.overcommits() == 0
            && ledger.tasksFinished() >= settings.expectedBatchTasks();
    if (!passed) {
      System.err.println("invariant violated: " + statistics + " " + ledger);
    }
    return passed ? ExitCode.OK : ExitCode.INVARIANT_VIOLATED;
  }
}
