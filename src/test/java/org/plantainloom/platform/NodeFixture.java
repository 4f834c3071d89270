package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.platform.standin.SimulatedQueue;
import org.plantainloom.support.Servers;
import org.plantainloom.transport.dispatch.Node;
import org.plantainloom.transport.dispatch.NodeContext;

/** A configured simulated platform and the nodes that a test starts on it. */
final class NodeFixture implements AutoCloseable {
  static final String LASTING_JOB =
      "{\"spec\":\"serve\",\"phases\":[{\"count\":3,\"cpu\":500,\"long-running\":true}]}";
  static final String SHORT_JOB =
      "{\"spec\":\"text\",\"phases\":[{\"count\":3,\"cpu\":500,\"mem-mb\":64},"
          + "{\"count\":2,\"cpu\":500,\"mem-mb\":64,\"after\":[0]}]}";

  /** Limit of each wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_MS = 30_000;

  private static final long POLL_MS = 20;
  private static final int WORKERS = 3;
  private static final long TASK_MS = 50;

  private final SimulatedPlatform platform = SimulatedPlatform.start(WORKERS, TASK_MS);
  private final List<RunningNode> nodes = new ArrayList<>();

  NodeFixture() {
    platform.configure(1);
  }

  SimulatedPlatform platform() {
    return platform;
  }

  RunningNode startNode(String name) {
    return startNode(name, platform.storeAddress());
  }

  RunningNode startNode(String name, String storeAddress) {
    RunningNode node = new RunningNode(name, storeAddress);
    nodes.add(node);
    return node;
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineMs = System.nanoTime() / 1_000_000 + AWAIT_TIMEOUT_MS;
    while (!condition.getAsBoolean() && System.nanoTime() / 1_000_000 < deadlineMs) {
      Thread.sleep(POLL_MS);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Override
  public void close() {
    nodes.forEach(RunningNode::close);
    platform.close();
  }

  /** A node with its API for callers. */
  static final class RunningNode implements AutoCloseable {
    private final PlatformHttpClient client = new PlatformHttpClient();
    private final Node node;
    private final Server server;
    private final WebClient caller;
    private boolean closed;

    RunningNode(String name, String storeAddress) {
      node =
          Node.start(
              new NodeContext(
                  name,
                  "127.0.0.1:1",
                  1,
                  new PlatformStore(client, storeAddress),
                  new PlatformWorkers(client),
                  new PlatformOwnerPeers(client),
                  new PlatformCodec(),
                  DispatchPolicy.of(6_000, 400),
                  new MetricRegistry(),
                  NodeContext.nowMs()));
      server =
          Server.builder()
              .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .meterRegistry(NoopMeterRegistry.get())
              .gracefulShutdownTimeoutMillis(0, 0)
              .serviceUnder("/", new JobHttpService(node, client))
              .build();
      server.start().join();
      caller = WebClient.of("h1c://127.0.0.1:" + server.activeLocalPort());
    }

    private AggregatedHttpResponse send(HttpMethod method, String jobId, String body) {
      return sendTo(SimulatedPlatform.JOB_PATH_PREFIX + jobId, method, body);
    }

    private AggregatedHttpResponse sendTo(String path, HttpMethod method, String body) {
      RequestHeaders headers =
          RequestHeaders.builder(method, path)
              .contentType(MediaType.JSON)
              .set(HttpHeaderNames.HOST, SimulatedPlatform.QUEUE_HOST)
              .build();
      return caller.execute(headers, body).aggregate().join();
    }

    /** Submits a job once and returns the status code of the response. */
    int submitOnce(String jobId, String job) {
      return send(HttpMethod.POST, jobId, job).status().code();
    }

    /** Submits a job until it is accepted. */
    void submit(String jobId, String job) throws InterruptedException {
      await(() -> submitOnce(jobId, job) == 200);
    }

    /** Asks for the count of a queue and returns the status code of the response. */
    int countStatusCode(SimulatedQueue queue) {
      return sendTo(queue.pathPrefix(), HttpMethod.GET, "").status().code();
    }

    int statusCode(String jobId) {
      return send(HttpMethod.GET, jobId, "").status().code();
    }

    void awaitState(String jobId, String state) throws InterruptedException {
      await(() -> send(HttpMethod.GET, jobId, "").contentUtf8().contains(state));
    }

    /** Returns whether the node knows which node is the owner. */
    boolean knowsOwner() {
      return node.ownerAddress().isPresent();
    }

    void resign() {
      node.resign().join();
    }

    /** Stops the node without giving up the ownership, as a kill would. */
    @Override
    public void close() {
      if (!closed) {
        closed = true;
        Servers.stopInBackground(server);
        node.close();
        client.close();
      }
    }
  }
}
