package org.plantainloom.program.load;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.plantainloom.coordination.routing.AttemptOutcome;
import org.plantainloom.protocol.Headers;
import org.plantainloom.protocol.Json;
import org.plantainloom.transport.gateway.UpstreamClient;

/** Sends readings through the gateways and retries only those that are known not to have run. */
final class Caller {
  /** How long a reading is retried before the caller gives up. */
  private static final long RETRY_TIMEOUT_MS = 15_000;

  /** Delay before a retry, and the time a caller waits for the gateway beyond the deadline. */
  private static final long RETRY_DELAY_MS = 200;

  private final LoadSettings settings;
  private final ReadyGateways gateways;
  private final UpstreamClient client;
  private final LoadStatistics statistics;
  private final ScheduledExecutorService timer;

  Caller(
      LoadSettings settings,
      ReadyGateways gateways,
      UpstreamClient client,
      LoadStatistics statistics,
      ScheduledExecutorService timer) {
    this.settings = settings;
    this.gateways = gateways;
    this.client = client;
    this.statistics = statistics;
    this.timer = timer;
  }

  /** Sends a reading and completes the future once its final outcome is known. */
  void send(ScaleReading reading, CompletableFuture<Void> done) {
    attempt(reading, System.currentTimeMillis(), done);
  }

  private void attempt(ScaleReading reading, long startedMs, CompletableFuture<Void> done) {
    Optional<String> gateway = gateways.pick();
    if (gateway.isEmpty()) {
      retryLater(reading, startedMs, done);
      return;
    }
    String body = Json.write(reading);
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.POST, settings.path())
            .contentType(MediaType.JSON_UTF_8)
            .set(Headers.REQUEST_ID, reading.id())
            .setLong(Headers.DEADLINE_MS, settings.deadlineMs())
            .build();
    AggregatedHttpRequest request = AggregatedHttpRequest.of(headers, HttpData.ofUtf8(body));
    client
        .send(gateway.get(), request, settings.deadlineMs() + RETRY_DELAY_MS)
        .thenAccept(outcome -> handleOutcome(reading, body, startedMs, outcome, done))
        .exceptionally(
            failure -> {
              done.completeExceptionally(failure);
              return null;
            });
  }

  private void handleOutcome(
      ScaleReading reading,
      String body,
      long startedMs,
      AttemptOutcome<AggregatedHttpResponse> outcome,
      CompletableFuture<Void> done) {
    if (outcome instanceof AttemptOutcome.NotRun) {
      statistics.recordRefusal();
      retryLater(reading, startedMs, done);
      return;
    }
    if (outcome instanceof AttemptOutcome.Answered<AggregatedHttpResponse> answered
        && answered.answer().status().isSuccess()) {
      boolean correct = answered.answer().contentUtf8().equals("{\"settled\":" + body + "}");
      statistics.recordAnswer(System.currentTimeMillis() - startedMs, correct);
    } else {
      statistics.recordUnknown();
    }
    done.complete(null);
  }

  private void retryLater(ScaleReading reading, long startedMs, CompletableFuture<Void> done) {
    if (System.currentTimeMillis() - startedMs > RETRY_TIMEOUT_MS) {
      statistics.recordGivenUp();
      done.complete(null);
      return;
    }
    ScheduledFuture<?> retry =
        timer.schedule(
            () -> attempt(reading, startedMs, done), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    if (retry.isCancelled()) {
      done.complete(null);
    }
  }
}
