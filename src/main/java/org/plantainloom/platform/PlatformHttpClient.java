package org.plantainloom.platform;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import java.util.concurrent.CompletableFuture;

/**
 * The one HTTP client for all that the platform runs; never fails, but tells that no answer came.
 */
public final class PlatformHttpClient implements AutoCloseable {
  /** A connection within a region takes under 2 ms, between regions under 20. */
  private static final long CONNECT_TIMEOUT_MS = 500;

  /** Connections to workers are priced: they are kept while the node runs. */
  private static final long IDLE_TIMEOUT_MS = 60_000;

  /** A page of the store holds about a megabyte of values, in base64. */
  private static final long MAX_ANSWER_BYTES = 4L << 20;

  private final ClientFactory factory;
  private final WebClient client;

  /** Creates the client. */
  public PlatformHttpClient() {
    this.factory =
        ClientFactory.builder()
            .meterRegistry(NoopMeterRegistry.get())
            // Contexts for TLS are then made when a host first needs one, which none does.
            .tlsProvider(host -> null)
            .connectTimeoutMillis(CONNECT_TIMEOUT_MS)
            .idleTimeoutMillis(IDLE_TIMEOUT_MS)
            .build();
    this.client = WebClient.builder().factory(factory).maxResponseLength(MAX_ANSWER_BYTES).build();
  }

  CompletableFuture<PlatformHttpReply> get(String address, String path, long timeoutMs) {
    return send(RequestHeaders.builder(HttpMethod.GET, url(address, path)), "", timeoutMs);
  }

  CompletableFuture<PlatformHttpReply> post(
      String address, String path, String body, long timeoutMs) {
    return send(RequestHeaders.builder(HttpMethod.POST, url(address, path)), body, timeoutMs);
  }

  CompletableFuture<PlatformHttpReply> send(
      RequestHeadersBuilder headers, String body, long timeoutMs) {
    if (!body.isEmpty()) {
      headers.contentType(MediaType.JSON);
    }
    RequestOptions options = RequestOptions.builder().responseTimeoutMillis(timeoutMs).build();
    return client
        .execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)), options)
        .aggregate()
        .handle((answer, failure) -> failure == null ? reply(answer) : missing(failure));
  }

  static String url(String address, String path) {
    return "h1c://" + address + path;
  }

  private static PlatformHttpReply reply(AggregatedHttpResponse answer) {
    return new PlatformHttpReply(answer.status().code(), answer.contentUtf8());
  }

  private static PlatformHttpReply missing(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    boolean unsent = failure instanceof UnprocessedRequestException;
    return new PlatformHttpReply(
        unsent ? PlatformHttpReply.NOT_SENT : PlatformHttpReply.NO_ANSWER, cause.toString());
  }

  @Override
  public void close() {
    factory.close();
  }
}
