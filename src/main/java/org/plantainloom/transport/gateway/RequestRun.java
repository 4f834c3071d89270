package org.plantainloom.transport.gateway;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.plantainloom.coordination.routing.AttemptFeedback;
import org.plantainloom.coordination.routing.AttemptOutcome;
import org.plantainloom.coordination.routing.Locality;
import org.plantainloom.coordination.routing.NotRunReason;
import org.plantainloom.coordination.routing.RetryBudget;
import org.plantainloom.coordination.routing.RetryPolicy;
import org.plantainloom.coordination.routing.RouteChoice;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.protocol.Headers;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.OutcomeCode;
import org.plantainloom.protocol.message.ApiError;
import org.plantainloom.protocol.message.NotRunBody;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.TaskRef;
import org.plantainloom.transport.http.ProcessContext;

/** One caller's request on its way through the gateway: attempts, retries, one answer. */
final class RequestRun {
  private static final long DEFAULT_DEADLINE_MS = 5_000;
  private static final long MAX_DEADLINE_MS = 60_000;
  private static final long IDEMPOTENT_ATTEMPT_MS = 1_500;
  private static final long RETRY_PAUSE_MS = 20;
  private static final long RETRY_AFTER_MS = 250;

  private static final Set<HttpMethod> IDEMPOTENT_METHODS =
      Set.of(
          HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS, HttpMethod.PUT, HttpMethod.DELETE);

  private final ProcessContext process;
  private final Router router;
  private final UpstreamClient upstream;
  private final RetryBudget budget;
  private final GatewayMeters meters;
  private final AggregatedHttpRequest request;
  private final ServiceRequestContext ctx;
  private final String service;
  private final String requestId;
  private final boolean idempotent;
  private final long startedMs;
  private final long deadlineMs;
  private final Set<TaskRef> tried = new HashSet<>();
  private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
  private boolean mayHaveRun;
  private int attempts;

  RequestRun(
      ProcessContext process,
      Router router,
      UpstreamClient upstream,
      RetryBudgets budgets,
      GatewayMeters meters,
      AggregatedHttpRequest request,
      ServiceRequestContext ctx) {
    this.process = process;
    this.router = router;
    this.upstream = upstream;
    this.meters = meters;
    this.request = request;
    this.ctx = ctx;
    this.service = serviceOf(request.path());
    this.budget = budgets.of(service);
    this.requestId =
        Objects.requireNonNullElseGet(
            request.headers().get(Headers.REQUEST_ID), () -> ctx.id().text());
    this.idempotent = isIdempotent(request);
    this.startedMs = process.nowMs();
    long allowedMs = request.headers().getLong(Headers.DEADLINE_MS, DEFAULT_DEADLINE_MS);
    this.deadlineMs = startedMs + Math.max(0, Math.min(MAX_DEADLINE_MS, allowedMs));
  }

  private static String serviceOf(String path) {
    String[] parts = path.split("[/?]", 4);
    return parts.length < 3 ? "" : parts[1] + "/" + parts[2];
  }

  private static boolean isIdempotent(AggregatedHttpRequest request) {
    return IDEMPOTENT_METHODS.contains(request.method())
        || Boolean.parseBoolean(request.headers().get(Headers.IDEMPOTENT));
  }

  CompletableFuture<HttpResponse> run() {
    budget.recordRequest();
    if (!router.hasRoutes(service)) {
      refuse(NotRunReason.NO_REPLICA);
    } else {
      attempt();
    }
    return result;
  }

  private void attempt() {
    long nowMs = process.nowMs();
    long remainingMs = deadlineMs - nowMs;
    if (remainingMs <= 0) {
      refuse(NotRunReason.DEADLINE);
      return;
    }
    Optional<RouteChoice> choice = router.choose(service, tried, nowMs);
    if (choice.isEmpty()) {
      refuse(NotRunReason.OVERLOADED);
      return;
    }
    attempts++;
    send(choice.get(), nowMs, remainingMs);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // ended answers the caller whatever happens
  private void send(RouteChoice choice, long sentMs, long remainingMs) {
    if (choice.locality() == Locality.OTHER_REGION) {
      meters.sentAcrossRegions();
    }
    long timeoutMs = idempotent ? Math.min(IDEMPOTENT_ATTEMPT_MS, remainingMs) : remainingMs;
    upstream
        .send(choice.route().address(), attemptRequest(choice, remainingMs), timeoutMs)
        .whenComplete(
            (outcome, failure) ->
                ended(
                    choice,
                    sentMs,
                    failure == null ? outcome : new AttemptOutcome.Unknown<>(failure.toString())));
  }

  private AggregatedHttpRequest attemptRequest(RouteChoice choice, long remainingMs) {
    RequestHeaders headers =
        request.headers().toBuilder()
            .set(Headers.REQUEST_ID, requestId)
            .setLong(Headers.DEADLINE_MS, remainingMs)
            .set(Headers.INCARNATION, choice.route().ref().toString())
            .set(Headers.CLOCK, process.clock().tick().toString())
            .build();
    return AggregatedHttpRequest.of(headers, request.content());
  }

  private void ended(
      RouteChoice choice, long sentMs, AttemptOutcome<AggregatedHttpResponse> outcome) {
    long nowMs = process.nowMs();
    router.completeAttempt(choice, feedback(outcome, nowMs - sentMs), nowMs);
    if (outcome instanceof AttemptOutcome.Answered<AggregatedHttpResponse> answered) {
      answer(answered.answer(), nowMs);
      return;
    }
    mayHaveRun |= outcome instanceof AttemptOutcome.Unknown;
    boolean retry = RetryPolicy.mayRetry(idempotent, outcome, attempts, deadlineMs - nowMs, budget);
    if (retry) {
      meters.retried();
      tried.add(choice.route().ref());
      CompletableFuture.delayedExecutor(RETRY_PAUSE_MS, TimeUnit.MILLISECONDS, ctx.eventLoop())
          .execute(this::attempt);
    } else if (outcome instanceof AttemptOutcome.NotRun<?> notRun) {
      refuse(notRun.reason());
    } else {
      admitUnknown(((AttemptOutcome.Unknown<?>) outcome).reason());
    }
  }

  private static AttemptFeedback feedback(
      AttemptOutcome<AggregatedHttpResponse> outcome, long elapsedMs) {
    if (outcome instanceof AttemptOutcome.Answered<AggregatedHttpResponse> answered) {
      boolean healthy = !answered.answer().status().isServerError();
      Integer inFlight = answered.answer().headers().getInt(Headers.IN_FLIGHT);
      OptionalInt reported = inFlight == null ? OptionalInt.empty() : OptionalInt.of(inFlight);
      return new AttemptFeedback(healthy, true, elapsedMs, reported);
    }
    boolean refused =
        outcome instanceof AttemptOutcome.NotRun<?> notRun
            && notRun.reason() == NotRunReason.REFUSED_UPSTREAM;
    return new AttemptFeedback(false, !refused, elapsedMs, OptionalInt.empty());
  }

  private void answer(AggregatedHttpResponse answer, long nowMs) {
    meters.answered(nowMs - startedMs);
    ResponseHeaders headers =
        answer.headers().toBuilder()
            .set(Headers.REQUEST_ID, requestId)
            .set(Headers.OUTCOME, OutcomeCode.ANSWERED.code())
            .build();
    result.complete(HttpResponse.of(headers, answer.content()));
  }

  // A retry that was refused says nothing about the attempts before it.
  private void refuse(NotRunReason reason) {
    if (mayHaveRun) {
      admitUnknown("an earlier attempt may have run; then " + reason.code());
      return;
    }
    meters.notRun();
    process.timeline().record(EventKind.REQUEST_NOT_RUN, requestId, reason.code());
    long retryAfterMs = RETRY_AFTER_MS / 2 + ThreadLocalRandom.current().nextLong(RETRY_AFTER_MS);
    NotRunBody body =
        new NotRunBody(OutcomeCode.NOT_RUN.code(), reason.code(), requestId, retryAfterMs);
    result.complete(
        HttpResponse.of(
            headers(HttpStatus.SERVICE_UNAVAILABLE, OutcomeCode.NOT_RUN),
            HttpData.ofUtf8(Json.write(body))));
  }

  private void admitUnknown(String reason) {
    meters.unknown();
    process.record(EventKind.REQUEST_UNKNOWN, requestId, reason);
    result.complete(
        HttpResponse.of(
            headers(HttpStatus.GATEWAY_TIMEOUT, OutcomeCode.UNKNOWN),
            HttpData.ofUtf8(
                Json.write(ApiError.of("unknown", "the request may or may not have run")))));
  }

  private ResponseHeaders headers(HttpStatus status, OutcomeCode outcome) {
    return ResponseHeaders.builder(status)
        .contentType(MediaType.JSON_UTF_8)
        .set(Headers.REQUEST_ID, requestId)
        .set(Headers.OUTCOME, outcome.code())
        .build();
  }
}
