package org.plantainloom.program.standin;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainloom.protocol.Headers;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.OutcomeCode;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.transport.http.Replies;

/** HTTP face of one stand-in worker: control messages and callers' requests. */
final class WorkerService implements HttpService {
  private final PlatformService platform;
  private final int requestMs;
  private volatile InMemoryWorker worker;

  WorkerService(PlatformService platform, int requestMs) {
    this.platform = platform;
    this.requestMs = requestMs;
  }

  void serves(InMemoryWorker newWorker) {
    worker = newWorker;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
    boolean control = request.path().equals("/control/sync");
    return HttpResponse.of(
        request.aggregate().thenApply(whole -> control ? sync(whole) : answer(ctx, whole)));
  }

  private HttpResponse sync(AggregatedHttpRequest request) {
    if (platform.faults().unreachableWorkers().contains(worker.info().id())) {
      return HttpResponse.of(new CompletableFuture<HttpResponse>());
    }
    return Replies.ok(worker.sync(Json.read(request.contentUtf8(), WorkerCommands.class)));
  }

  private HttpResponse answer(ServiceRequestContext ctx, AggregatedHttpRequest request) {
    String requestId = request.headers().get(Headers.REQUEST_ID, "");
    String incarnation = request.headers().get(Headers.INCARNATION, "");
    Optional<RunningTask> task = worker.beginRequest(incarnation, requestId);
    if (task.isEmpty()) {
      return HttpResponse.of(
          headers(HttpStatus.SERVICE_UNAVAILABLE, requestId)
              .set(Headers.OUTCOME, OutcomeCode.NOT_RUN.code())
              .build());
    }
    return HttpResponse.of(
        new CompletableFuture<Void>()
            .completeOnTimeout(null, worker.requestMs(requestMs), TimeUnit.MILLISECONDS)
            .thenApplyAsync(
                x -> {
                  worker.endRequest(task.get());
                  return HttpResponse.of(
                      headers(HttpStatus.OK, requestId).build(),
                      HttpData.ofUtf8(settle(request.contentUtf8())));
                },
                ctx.eventLoop()));
  }

  private ResponseHeadersBuilder headers(HttpStatus status, String requestId) {
    return ResponseHeaders.builder(status)
        .contentType(MediaType.JSON_UTF_8)
        .set(Headers.REQUEST_ID, requestId)
        .setInt(Headers.IN_FLIGHT, worker.requestsInFlight());
  }

  // Like a real service, it answers with the input and what it made of it.
  private static String settle(String reading) {
    return "{\"settled\":" + (reading.isEmpty() ? "null" : reading) + "}";
  }
}
