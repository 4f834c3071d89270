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

/** Makes single attempts at upstream workers and tells how each one ended. */
public final class UpstreamClient implements AutoCloseable {
  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long IDLE_TIMEOUT_MS = 10_000;
  private static final long PING_INTERVAL_MS = 1_000;
  private static final long MAX_ANSWER_BYTES = 4L << 20;

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
    this.client = WebClient.builder().factory(factory).maxResponseLength(MAX_ANSWER_BYTES).build();
  }

  /**
   * Sends a request once.
   *
   * @param address host and port of the worker
   * @param request the request; its request id must be echoed
   * @param timeoutMs time until the attempt is given up, in milliseconds
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
        .handle((answer, failure) -> failure == null ? judge(requestId, answer) : judge(failure));
  }

  private static AttemptOutcome<AggregatedHttpResponse> judge(
      String requestId, AggregatedHttpResponse answer) {
    if (!Objects.equals(requestId, answer.headers().get(Headers.REQUEST_ID))) {
      return new AttemptOutcome.Unknown<>("the answer belongs to another request");
    }
    if (OutcomeCode.NOT_RUN.matches(answer.headers().get(Headers.OUTCOME))) {
      return new AttemptOutcome.NotRun<>(NotRunReason.REFUSED_UPSTREAM);
    }
    return new AttemptOutcome.Answered<>(answer);
  }

  private static AttemptOutcome<AggregatedHttpResponse> judge(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    // Armeria raises this one only if not a byte of the request was written.
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
