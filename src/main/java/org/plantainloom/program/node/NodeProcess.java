package org.plantainloom.program.node;

import com.codahale.metrics.MetricRegistry;
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
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.platform.JobHttpService;
import org.plantainloom.platform.NodeSettings;
import org.plantainloom.platform.OwnerQueries;
import org.plantainloom.platform.PlatformCodec;
import org.plantainloom.platform.PlatformHttpClient;
import org.plantainloom.platform.PlatformOwnerPeers;
import org.plantainloom.platform.PlatformStore;
import org.plantainloom.platform.PlatformWorkers;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.ShutdownHook;
import org.plantainloom.transport.dispatch.Node;
import org.plantainloom.transport.dispatch.NodeContext;
import org.plantainloom.transport.http.MetricsText;

/** A running node, with its HTTP server and its graceful shutdown. */
final class NodeProcess {
  private static final Logger LOG = Logger.getLogger(NodeProcess.class);

  /** The load balancer checks each second and removes a node after two failed checks. */
  private static final long BALANCER_REMOVAL_MS = 2_300;

  /** Time before the platform's SIGKILL that is left for the process to exit after its requests. */
  private static final long EXIT_MARGIN_MS = 1_000;

  private static final long PERSIST_POLL_MS = 20;

  /** A node that is too busy to resign in this time is replaced when its lease expires. */
  private static final long RESIGN_TIMEOUT_MS = 600;

  private static final long PERSIST_TIMEOUT_MS = 600;

  /** Time for the queued log records to be written. */
  private static final long LOG_DRAIN_MS = 50;

  /** The longest request waits for two calls to the store, one after the other. */
  private static final long MAX_REQUEST_MS = 6_000;

  /** Upper bound for any request body; the configured limit is usually lower. */
  private static final long MAX_BODY_BYTES = 2L << 20;

  private final NodeSettings settings;
  private final Node node;
  private final PlatformHttpClient client;
  private final Server server;
  private volatile boolean stopping;

  private NodeProcess(NodeSettings settings, long startedMs) {
    this.settings = settings;
    this.client = new PlatformHttpClient();
    MetricRegistry metrics = new MetricRegistry();
    LastResort lastResort = LastResort.start(settings.name());
    this.node =
        Node.start(
            new NodeContext(
                settings.name(),
                settings.controlAddress(),
                settings.processors(),
                new PlatformStore(client, settings.storeAddress()),
                new PlatformWorkers(client),
                new PlatformOwnerPeers(client),
                new PlatformCodec(),
                DispatchPolicy.of(settings.maxLeaseMs(), settings.stopGraceMs()),
                metrics,
                startedMs),
            lastResort::end);
    lastResort.watch(
        new LastResort.Source() {
          @Override
          public long tickCount() {
            return node.tickCount();
          }

          @Override
          public void giveUp() {
            GracefulShutdown.of(settings.name()).step("resign ownership", resign()).run();
          }
        });
    this.server = server(metrics);
    server.start().join();
    LOG.infof("event=started node=%s callers=%s", settings.name(), settings.callerAddress());
  }

  private Server server(MetricRegistry metrics) {
    ServerBuilder builder =
        Server.builder()
            .http(address(settings.callerAddress()))
            .http(address(settings.readinessAddress()))
            .http(address(settings.controlAddress()))
            .meterRegistry(NoopMeterRegistry.get())
            .maxRequestLength(MAX_BODY_BYTES)
            .requestTimeoutMillis(MAX_REQUEST_MS)
            .gracefulShutdownTimeoutMillis(0, MAX_REQUEST_MS);
    JobHttpService callerService = new JobHttpService(node, client);
    int callerPort = address(settings.callerAddress()).getPort();
    HttpService controlService =
        (ctx, request) -> {
          String path = ctx.path();
          if (path.equals("/-/readyz")) {
            return readiness();
          } else if (path.equals("/metrics")) {
            return HttpResponse.of(MediaType.PLAIN_TEXT_UTF_8, MetricsText.of(metrics));
          }
          return OwnerQueries.answer(node, path)
              .or(() -> PlatformOwnerPeers.answer(node, ctx.method(), path))
              .orElseGet(() -> HttpResponse.of(HttpStatus.NOT_FOUND));
        };
    return builder
        .serviceUnder(
            "/",
            (ctx, request) ->
                ctx.localAddress().getPort() == callerPort
                    ? serveCaller(callerService, ctx, request)
                    : controlService.serve(ctx, request))
        .build();
  }

  /**
   * During the shutdown, each response asks the caller to reconnect, which reaches another node.
   */
  @SuppressWarnings("FutureReturnValueIgnored") // the connection closes after its last response
  private HttpResponse serveCaller(
      JobHttpService callerService, ServiceRequestContext ctx, HttpRequest request) {
    if (stopping) {
      ctx.initiateConnectionShutdown();
    }
    return callerService.serve(ctx, request);
  }

  private HttpResponse readiness() {
    boolean ready = node.isReady() && !stopping;
    return HttpResponse.of(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Starts a node without handlers for signals. */
  static NodeProcess start(NodeSettings settings) {
    return new NodeProcess(settings, NodeContext.nowMs());
  }

  /**
   * Starts a node that shuts down on SIGTERM or SIGINT.
   *
   * @param startedMs when the process started, on the monotonic clock
   */
  static ExitCode run(NodeSettings settings, long startedMs) {
    NodeProcess process = new NodeProcess(settings, startedMs);
    ShutdownHook.register(process::stop);
    return ExitCode.OK;
  }

  /** Shuts the node down gracefully; returns when all steps were run. */
  void stop() {
    LOG.infof("event=stopping node=%s", settings.name());
    stopping = true;
    long stopRequestedMs = System.nanoTime() / 1_000_000;
    GracefulShutdown.of(settings.name())
        .step("persist progress", this::awaitProgressPersisted)
        .step("resign ownership", resign())
        .step("leave the load balancer", () -> Thread.sleep(BALANCER_REMOVAL_MS))
        .step("finish requests", () -> finishRequests(stopRequestedMs))
        .run();
    LOG.infof("event=stopped node=%s", settings.name());
    GracefulShutdown.of(settings.name())
        .step("flush the log", () -> Thread.sleep(LOG_DRAIN_MS))
        .run();
  }

  private GracefulShutdown.Action resign() {
    return () -> node.resign().get(RESIGN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void awaitProgressPersisted() throws Exception {
    for (long waited = 0; waited < PERSIST_TIMEOUT_MS; waited += PERSIST_POLL_MS) {
      if (node.isProgressPersisted().get(PERSIST_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        return;
      }
      Thread.sleep(PERSIST_POLL_MS);
    }
  }

  private void finishRequests(long stopRequestedMs) throws Exception {
    long spentMs = System.nanoTime() / 1_000_000 - stopRequestedMs;
    long leftMs = Math.max(1, settings.stopWithinMs() - EXIT_MARGIN_MS - spentMs);
    server.stop().get(leftMs, TimeUnit.MILLISECONDS);
  }
}
