package org.plantainloom.transport.http;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.plantainloom.protocol.Headers;
import org.plantainloom.state.HybridClock;
import org.plantainloom.state.HybridTimestamp;

/** HTTP server with the endpoints that every program has: health, readiness, metrics, time line. */
public final class ProcessServer {
  private static final long QUIET_MS = 20;
  private static final long STOP_TIMEOUT_MS = 15_000;

  private ProcessServer() {}

  /**
   * Returns a server builder with the common endpoints.
   *
   * @param address host and port to listen on; port 0 takes a free one
   */
  public static ServerBuilder builder(
      InetSocketAddress address, ProcessContext process, Readiness readiness) {
    return addCommonEndpoints(Server.builder().http(address), process, readiness);
  }

  /** Adds the common endpoints to a server builder. */
  public static ServerBuilder addCommonEndpoints(
      ServerBuilder builder, ProcessContext process, Readiness readiness) {
    ObjectMapper metricsJson =
        new ObjectMapper()
            .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
    WireMeters meters = new WireMeters(process.metrics());
    return builder
        .childChannelPipelineCustomizer(pipeline -> pipeline.addFirst(meters))
        .meterRegistry(NoopMeterRegistry.get())
        .gracefulShutdownTimeoutMillis(QUIET_MS, STOP_TIMEOUT_MS)
        .decorator((delegate, ctx, req) -> stamped(delegate, ctx, req, process.clock()))
        .service("/health", (ctx, req) -> HttpResponse.of("ok"))
        .service("/ready", (ctx, req) -> readiness(readiness))
        .service(
            "/metrics",
            (ctx, req) ->
                HttpResponse.of(
                    MediaType.JSON_UTF_8, metricsJson.writeValueAsString(process.metrics())))
        .service(
            "/timeline",
            (ctx, req) -> {
              long from = Long.parseLong(Objects.requireNonNullElse(ctx.queryParam("from"), "0"));
              return Replies.ok(process.timeline().page(from));
            });
  }

  private static HttpResponse readiness(Readiness readiness) {
    return readiness.isReady()
        ? HttpResponse.of("ready")
        : HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE, MediaType.PLAIN_TEXT_UTF_8, "not ready");
  }

  private static HttpResponse stamped(
      HttpService delegate, ServiceRequestContext ctx, HttpRequest request, HybridClock clock)
      throws Exception {
    String stamp = request.headers().get(Headers.CLOCK);
    if (stamp != null) {
      clock.observe(HybridTimestamp.parse(stamp));
    }
    ctx.mutateAdditionalResponseHeaders(h -> h.set(Headers.CLOCK, clock.tick().toString()));
    return delegate.serve(ctx, request);
  }
}
