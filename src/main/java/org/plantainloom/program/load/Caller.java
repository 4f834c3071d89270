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

/** Sends one reading until it is answered, tries again only what did not run. */
final class Caller {
  private static final long PATIENCE_MS = 15_000;
  private static final long PAUSE_MS = 200;

  private final LoadSettings settings;
  private final ReadyGateways gateways;
  private final UpstreamClient client;
  private final LoadTally tally;
  private final ScheduledExecutorService timer;

  Caller(
      LoadSettings settings,
      ReadyGateways gateways,
      UpstreamClient client,
      LoadTally tally,
      ScheduledExecutorService timer) {
    this.settings = settings;
    this.gateways = gateways;
    this.client = client;
    this.tally = tally;
    this.timer = timer;
  }

  /** Sends a reading and completes the future once its fate is known. */
  void send(Reading reading, CompletableFuture<Void> done) {
    attempt(reading, System.currentTimeMillis(), done);
  }

  private void attempt(Reading reading, long startedMs, CompletableFuture<Void> done) {
    Optional<String> gateway = gateways.pick();
    if (gateway.isEmpty()) {
      again(reading, startedMs, done);
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
        .send(gateway.get(), request, settings.deadlineMs() + PAUSE_MS)
        .thenAccept(outcome -> ended(reading, body, startedMs, outcome, done))
        .exceptionally(
            failure -> {
              done.completeExceptionally(failure);
              return null;
            });
  }

  private void ended(
      Reading reading,
      String body,
      long startedMs,
      AttemptOutcome<AggregatedHttpResponse> outcome,
      CompletableFuture<Void> done) {
    if (outcome instanceof AttemptOutcome.NotRun) {
      tally.refused();
      again(reading, startedMs, done);
      return;
    }
    if (outcome instanceof AttemptOutcome.Answered<AggregatedHttpResponse> answered
        && answered.answer().status().isSuccess()) {
      boolean right = answered.answer().contentUtf8().equals("{\"settled\":" + body + "}");
      tally.answered(System.currentTimeMillis() - startedMs, right);
    } else {
      tally.unknown();
    }
    done.complete(null);
  }

  private void again(Reading reading, long startedMs, CompletableFuture<Void> done) {
    if (System.currentTimeMillis() - startedMs > PATIENCE_MS) {
      tally.givenUp();
      done.complete(null);
      return;
    }
    ScheduledFuture<?> retry =
        timer.schedule(() -> attempt(reading, startedMs, done), PAUSE_MS, TimeUnit.MILLISECONDS);
    if (retry.isCancelled()) {
      done.complete(null);
    }
  }
}
