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
import org.plantainloom.platform.PlatformStore;
import org.plantainloom.platform.PlatformWorkers;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.StopSignal;
import org.plantainloom.transport.dispatch.Node;
import org.plantainloom.transport.dispatch.NodeContext;
import org.plantainloom.transport.http.MetricsText;

/** A running node, and its planned stop. */
final class NodeProcess {
  private static final Logger LOG = Logger.getLogger(NodeProcess.class);

  /** The balancer asks each second and takes a node out after two misses. */
  private static final long BALANCER_NOTICE_MS = 2_300;

  /** Part of the time before the kill that is left for requests to finish. */
  private static final long EXIT_MARGIN_MS = 1_000;

  private static final long KEEP_POLL_MS = 20;

  /** A node that is too busy to hand over in this time is replaced when its lease ends. */
  private static final long HAND_OVER_WITHIN_MS = 600;

  private static final long KEEP_WITHIN_MS = 600;

  /** Time for the queue of log lines to be written. */
  private static final long LOG_DRAIN_MS = 50;

  /** The longest request waits for the store twice. */
  private static final long MAX_REQUEST_MS = 6_000;

  /** Bound for any body; the configuration's own limit is usually lower. */
  private static final long MAX_BODY_BYTES = 2L << 20;

  private final NodeSettings settings;
  private final Node node;
  private final PlatformHttpClient client;
  private final Server server;
  private volatile boolean stopping;

  private NodeProcess(NodeSettings settings) {
    this.settings = settings;
    this.client = new PlatformHttpClient();
    MetricRegistry metrics = new MetricRegistry();
    this.node =
        Node.start(
            new NodeContext(
                settings.name(),
                settings.controlAddress(),
                new PlatformStore(client, settings.storeAddress()),
                new PlatformWorkers(client),
                new PlatformCodec(),
                DispatchPolicy.of(settings.maxLeaseMs(), settings.stopGraceMs()),
                metrics));
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
    JobHttpService front = new JobHttpService(node, client);
    int callerPort = address(settings.callerAddress()).getPort();
    HttpService control =
        (ctx, request) -> {
          String path = ctx.path();
          if (path.equals("/-/readyz")) {
            return readiness();
          } else if (path.equals("/metrics")) {
            return HttpResponse.of(MediaType.PLAIN_TEXT_UTF_8, MetricsText.of(metrics));
          }
          return OwnerQueries.answer(node, path)
              .orElseGet(() -> HttpResponse.of(HttpStatus.NOT_FOUND));
        };
    return builder
        .serviceUnder(
            "/",
            (ctx, request) ->
                ctx.localAddress().getPort() == callerPort
                    ? serveCaller(front, ctx, request)
                    : control.serve(ctx, request))
        .build();
  }

  /** While the node stops, each answer asks the caller to connect anew, to another node. */
  @SuppressWarnings("FutureReturnValueIgnored") // the connection closes after its last answer
  private HttpResponse serveCaller(
      JobHttpService front, ServiceRequestContext ctx, HttpRequest request) {
    if (stopping) {
      ctx.initiateConnectionShutdown();
    }
    return front.serve(ctx, request);
  }

  private HttpResponse readiness() {
    boolean ready = node.config().isKnown() && !stopping;
    return HttpResponse.of(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Starts a node without registering for signals. */
  static NodeProcess start(NodeSettings settings) {
    return new NodeProcess(settings);
  }

  static ExitCode run(NodeSettings settings) {
    NodeProcess process = start(settings);
    StopSignal.onSignal(process::stop);
    HangupSignal.onSignal(
        () -> LOG.infof("event=reloaded node=%s changed=nothing", settings.name()));
    return ExitCode.OK;
  }

  void stop() {
    LOG.infof("event=stopping node=%s", settings.name());
    stopping = true;
    long askedMs = System.nanoTime() / 1_000_000;
    GracefulShutdown.of(settings.name())
        .step("keep progress", this::awaitKept)
        .step("hand over", () -> node.resign().get(HAND_OVER_WITHIN_MS, TimeUnit.MILLISECONDS))
        .step("leave the balancer", () -> Thread.sleep(BALANCER_NOTICE_MS))
        .step("finish requests", () -> finishRequests(askedMs))
        .run();
    LOG.infof("event=stopped node=%s", settings.name());
    GracefulShutdown.of(settings.name())
        .step("write the log", () -> Thread.sleep(LOG_DRAIN_MS))
        .run();
  }

  private void awaitKept() throws Exception {
    for (long waited = 0; waited < KEEP_WITHIN_MS; waited += KEEP_POLL_MS) {
      if (node.isProgressPersisted().get(KEEP_WITHIN_MS, TimeUnit.MILLISECONDS)) {
        return;
      }
      Thread.sleep(KEEP_POLL_MS);
    }
  }

  private void finishRequests(long askedMs) throws Exception {
    long spentMs = System.nanoTime() / 1_000_000 - askedMs;
    long leftMs = Math.max(1, settings.stopWithinMs() - EXIT_MARGIN_MS - spentMs);
    server.stop().get(leftMs, TimeUnit.MILLISECONDS);
  }
}
