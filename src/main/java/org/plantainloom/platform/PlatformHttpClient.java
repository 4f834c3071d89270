package org.plantainloom.platform;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.ResponseTimeoutMode;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.RequestTarget;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import io.netty.channel.ChannelOption;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP client for the platform's store and workers and for other nodes.
 *
 * <p>The returned futures never complete exceptionally: a request without a response yields {@link
 * PlatformHttpReply#NO_RESPONSE}, {@link PlatformHttpReply#NOT_SENT} or {@link
 * PlatformHttpReply#TOO_LARGE}.
 */
public final class PlatformHttpClient implements AutoCloseable {
  /** Connecting takes under 2 ms within a region and under 20 ms between regions. */
  private static final long CONNECT_TIMEOUT_MS = 500;

  /** Opening a connection to a worker has a cost, so connections are kept open and reused. */
  private static final long IDLE_TIMEOUT_MS = 60_000;

  /** A page of the store holds about a megabyte of values, in base64. */
  private static final long MAX_RESPONSE_BYTES = 4L << 20;

  private final ClientFactory factory;
  private final WebClient client;
  private final PeerConnections connections = new PeerConnections(System::nanoTime);

  /** Creates the client. */
  public PlatformHttpClient() {
    this.factory =
        ClientFactory.builder()
            .meterRegistry(NoopMeterRegistry.get())
            // Defers creating TLS contexts until a host needs one; none does, as all URLs are h1c.
            .tlsProvider(host -> null)
            .connectTimeoutMillis(CONNECT_TIMEOUT_MS)
            .idleTimeoutMillis(IDLE_TIMEOUT_MS)
            // Closing a connection after a timeout discards what the network has not taken yet.
            .channelOption(ChannelOption.SO_LINGER, 0)
            .build();
    this.client =
        WebClient.builder().factory(factory).maxResponseLength(MAX_RESPONSE_BYTES).build();
  }

  CompletableFuture<PlatformHttpReply> get(String address, String path, long timeoutMs) {
    return send(HttpMethod.GET, address, path, Map.of(), "", timeoutMs);
  }

  /**
   * Sends a request that the peer may hold and that changes nothing. It ends without a response as
   * soon as another request to the peer shows that its connection may be dead.
   *
   * @param waitMs how long the peer may hold it, in milliseconds
   * @param timeoutMs how long to wait for the response, in milliseconds
   */
  CompletableFuture<PlatformHttpReply> poll(
      String address, String path, long waitMs, long timeoutMs) {
    return send(
        HttpMethod.GET,
        address,
        path,
        Map.of(),
        "",
        fromSending(timeoutMs),
        connections.poll(address, waitMs));
  }

  CompletableFuture<PlatformHttpReply> post(
      String address, String path, String body, long timeoutMs) {
    return send(HttpMethod.POST, address, path, Map.of(), body, timeoutMs);
  }

  CompletableFuture<PlatformHttpReply> delete(String address, String path, long timeoutMs) {
    return send(HttpMethod.DELETE, address, path, Map.of(), "", timeoutMs);
  }

  /**
   * Sends a request and waits for the response from when it was sent. Its target and headers may
   * come from entries that other systems write, so they may be invalid; the request is then {@link
   * PlatformHttpReply#NOT_SENT}.
   */
  CompletableFuture<PlatformHttpReply> send(
      HttpMethod method,
      String address,
      String path,
      Map<String, String> extraHeaders,
      String body,
      long timeoutMs) {
    return sendHeld(method, address, path, extraHeaders, body, 0, timeoutMs);
  }

  /**
   * Sends a request that the peer may hold.
   *
   * @param waitMs for how long, in milliseconds
   * @param timeoutMs how long to wait for the response, in milliseconds
   */
  CompletableFuture<PlatformHttpReply> sendHeld(
      HttpMethod method,
      String address,
      String path,
      Map<String, String> extraHeaders,
      String body,
      long waitMs,
      long timeoutMs) {
    return send(
        method,
        address,
        path,
        extraHeaders,
        body,
        fromSending(timeoutMs),
        connections.heldCall(address, waitMs));
  }

  private static RequestOptions fromSending(long timeoutMs) {
    return RequestOptions.builder().responseTimeoutMillis(timeoutMs).build();
  }

  /** Sends a request, but not after the timeout, which includes the time to connect. */
  CompletableFuture<PlatformHttpReply> sendWithin(
      HttpMethod method,
      String address,
      String path,
      Map<String, String> extraHeaders,
      String body,
      long timeoutMs) {
    RequestOptions options =
        RequestOptions.builder()
            .responseTimeoutMillis(timeoutMs)
            .responseTimeoutMode(ResponseTimeoutMode.FROM_START)
            .build();
    return send(method, address, path, extraHeaders, body, options, connections.call(address));
  }

  private CompletableFuture<PlatformHttpReply> send(
      HttpMethod method,
      String address,
      String path,
      Map<String, String> extraHeaders,
      String body,
      RequestOptions options,
      PeerConnections.Call call) {
    String url = "h1c://" + address + path;
    HttpResponse response;
    try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
      RequestHeadersBuilder headers = RequestHeaders.builder(method, url);
      extraHeaders.forEach(headers::add);
      if (!body.isEmpty()) {
        headers.contentType(MediaType.JSON);
      }
      response = client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)), options);
      Optional.ofNullable(captor.getOrNull()).ifPresent(call::observe);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(
          new PlatformHttpReply(PlatformHttpReply.NOT_SENT, e.toString()));
    }
    return response
        .aggregate()
        .handle(
            (reply, failure) -> {
              recordEnd(call, failure);
              return failure == null ? reply(reply) : failedReply(url, failure);
            });
  }

  private static void recordEnd(PeerConnections.Call call, Throwable failure) {
    if (failure == null) {
      call.answered();
    } else if (failure instanceof ResponseTimeoutException) {
      call.timedOut();
    } else {
      call.failed();
    }
  }

  private static PlatformHttpReply reply(AggregatedHttpResponse response) {
    return new PlatformHttpReply(response.status().code(), response.contentUtf8());
  }

  private static PlatformHttpReply failedReply(String url, Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return new PlatformHttpReply(failureStatus(url, failure), cause.toString());
  }

  private static int failureStatus(String url, Throwable failure) {
    if (failure instanceof UnprocessedRequestException || RequestTarget.forClient(url) == null) {
      return PlatformHttpReply.NOT_SENT;
    }
    return failure instanceof ContentTooLargeException
        ? PlatformHttpReply.TOO_LARGE
        : PlatformHttpReply.NO_RESPONSE;
  }

  @Override
  public void close() {
    factory.close();
  }
}
