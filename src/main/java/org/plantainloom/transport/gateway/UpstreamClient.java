package org.plantainloom.transport.gateway;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.plantainloom.coordination.routing.AttemptOutcome;
import org.plantainloom.coordination.routing.NotRunReason;
import org.plantainloom.protocol.Headers;
import org.plantainloom.protocol.OutcomeCode;
import org.plantainloom.transport.http.JsonClient;

/** Sends single attempts to upstream workers and classifies their outcomes. */
public final class UpstreamClient implements AutoCloseable {
  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long IDLE_TIMEOUT_MS = 10_000;
  private static final long PING_INTERVAL_MS = 1_000;
  private static final long MAX_RESPONSE_BYTES = 4L << 20;

  private final ClientFactory factory;
  private final WebClient client;

  /** Creates a client with a connection pool of its own. */
  public UpstreamClient() {
    this.factory =
        ClientFactory.builder()
            .meterRegistry(NoopMeterRegistry.get())
            .connectTimeoutMillis(CONNECT_TIMEOUT_MS)
            .idleTimeoutMillis(IDLE_TIMEOUT_MS)
            .pingIntervalMillis(PING_INTERVAL_MS)
            .build();
    this.client =
        WebClient.builder().factory(factory).maxResponseLength(MAX_RESPONSE_BYTES).build();
  }

  /**
   * Sends a request once.
   *
   * @param address host and port of the worker
   * @param request the request; the response must have the same request id
   * @param timeoutMs timeout of the attempt in milliseconds
   */
  public CompletableFuture<AttemptOutcome<AggregatedHttpResponse>> send(
      String address, AggregatedHttpRequest request, long timeoutMs) {
    RequestHeaders headers =
        request.headers().toBuilder()
            .scheme("h1c")
            .authority(address)
            .path(JsonClient.url(address, request.path()))
            .build();
    RequestOptions options = RequestOptions.builder().responseTimeoutMillis(timeoutMs).build();
    String requestId = request.headers().get(Headers.REQUEST_ID);
    return client
        .execute(HttpRequest.of(headers, request.content()), options)
        .aggregate()
        .handle(
            (response, failure) ->
                failure == null ? classify(requestId, response) : classify(failure));
  }

  private static AttemptOutcome<AggregatedHttpResponse> classify(
      String requestId, AggregatedHttpResponse response) {
    if (!Objects.equals(requestId, response.headers().get(Headers.REQUEST_ID))) {
      return new AttemptOutcome.Unknown<>("the response has the id of another request");
    }
    if (OutcomeCode.NOT_RUN.matches(response.headers().get(Headers.OUTCOME))) {
      return new AttemptOutcome.NotRun<>(NotRunReason.REFUSED_UPSTREAM);
    }
    return new AttemptOutcome.Answered<>(response);
  }

  private static AttemptOutcome<AggregatedHttpResponse> classify(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    // Armeria throws this only if no byte of the request was written.
    if (cause instanceof UnprocessedRequestException) {
      return new AttemptOutcome.NotRun<>(NotRunReason.UNREACHABLE);
    }
    return new AttemptOutcome.Unknown<>(cause.toString());
  }

  @Override
  public void close() {
    factory.close();
  }
}
