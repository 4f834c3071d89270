package org.plantainloom.transport.http;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.HttpClient;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.plantainloom.protocol.Headers;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.HybridClock;
import org.plantainloom.state.HybridTimestamp;

/**
 * HTTP client for messages between processes. The futures never complete exceptionally; a missing
 * response is an {@link HttpReply} too.
 */
public final class JsonClient implements AutoCloseable {
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long IDLE_TIMEOUT_MS = 10_000;
  private static final long MAX_RESPONSE_BYTES = 16L << 20;

  private final ClientFactory factory;
  private final WebClient client;
  private final HybridClock clock;

  private JsonClient(ClientFactory factory, HybridClock clock, WireMeters meters) {
    this.factory = factory;
    this.clock = clock;
    this.client =
        WebClient.builder()
            .factory(factory)
            .maxResponseLength(MAX_RESPONSE_BYTES)
            .decorator((delegate, ctx, request) -> metered(delegate, ctx, request, meters))
            .build();
  }

  /**
   * Creates a client whose requests carry timestamps of the clock.
   *
   * @param metrics receives the meters of the bytes on the wire
   */
  public static JsonClient create(HybridClock clock, MetricRegistry metrics) {
    WireMeters meters = new WireMeters(metrics);
    ClientFactory factory =
        ClientFactory.builder()
            .meterRegistry(NoopMeterRegistry.get())
            .connectTimeoutMillis(CONNECT_TIMEOUT_MS)
            .idleTimeoutMillis(IDLE_TIMEOUT_MS)
            .build();
    return new JsonClient(factory, clock, meters);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // the meters never fail
  private static HttpResponse metered(
      HttpClient delegate, ClientRequestContext ctx, HttpRequest request, WireMeters meters)
      throws Exception {
    ctx.log().whenComplete().thenAccept(meters::requestCompleted);
    return delegate.execute(ctx, request);
  }

  /** Sends a GET. */
  public CompletableFuture<HttpReply> get(String address, String path, long timeoutMs) {
    return send(HttpMethod.GET, address, path, "", timeoutMs);
  }

  /** Sends a request with a JSON body. */
  public CompletableFuture<HttpReply> send(
      HttpMethod method, String address, String path, String body, long timeoutMs) {
    RequestHeadersBuilder headers;
    try {
      headers = RequestHeaders.builder(method, url(address, path));
    } catch (RuntimeException e) {
      return unusableAddress(e);
    }
    return send(headers, body, timeoutMs);
  }

  /** Sends a request with a JSON body and further headers. */
  public CompletableFuture<HttpReply> send(
      RequestHeadersBuilder headers, String body, long timeoutMs) {
    headers.set(Headers.CLOCK, clock.tick().toString());
    if (!body.isEmpty()) {
      headers.contentType(MediaType.JSON_UTF_8);
    }
    RequestOptions options = RequestOptions.builder().responseTimeoutMillis(timeoutMs).build();
    HttpResponse response;
    try {
      response = client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)), options);
    } catch (RuntimeException e) {
      return unusableAddress(e);
    }
    return response
        .aggregate()
        .handle((received, failure) -> failure == null ? reply(received) : missing(failure));
  }

  // Armeria throws before it connects if the address is not one of a host and port. Callers that
  // send to many addresses would otherwise not reach those after this one.
  private static CompletableFuture<HttpReply> unusableAddress(RuntimeException failure) {
    return CompletableFuture.completedFuture(missing(failure));
  }

  /** Returns the URL of a path at an address. */
  public static String url(String address, String path) {
    return "h1c://" + address + path;
  }

  private HttpReply reply(AggregatedHttpResponse response) {
    String timestamp = response.headers().get(Headers.CLOCK);
    if (timestamp != null) {
      clock.observe(HybridTimestamp.parse(timestamp));
    }
    return new HttpReply(response.status().code(), response.contentUtf8());
  }

  /**
   * Returns a decoder that returns the fallback if the response has malformed JSON.
   *
   * @param errors logs malformed responses
   * @param source what responds, for the log
   */
  public static <T> Function<HttpReply, T> decoding(
      DecodeErrorLog errors, String source, Function<HttpReply, T> decode, T fallback) {
    return reply -> {
      try {
        T decoded = decode.apply(reply);
        if (reply.isSuccess()) {
          errors.readable(source);
        }
        return decoded;
      } catch (MalformedMessageException e) {
        errors.failed(source, e);
        return fallback;
      }
    };
  }

  private static HttpReply missing(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return new HttpReply(HttpReply.NO_ANSWER, cause.toString());
  }

  @Override
  public void close() {
    factory.close();
  }
}
