package org.plantainloom.platform.standin;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The users' platform in the small, on loopback: a store and workers that keep its rules.
 *
 * <pre>{@code
 * try (PlatformStandin platform = PlatformStandin.start(3, 200)) {
 *   platform.configure(1);
 *   …
 * }
 * }</pre>
 */
@SuppressWarnings("FutureReturnValueIgnored") // timers run until the stand-in is closed
public final class SimulatedPlatform implements AutoCloseable {
  /** Host that callers name to reach the only queue. */
  public static final String QUEUE_HOST = "queue.example";

  /** Prefix of the paths of its jobs. */
  public static final String JOB_PATH_PREFIX = "/jobs/";

  /** Name of the queue. */
  public static final String QUEUE_NAME = "queue";

  private static final String LOOPBACK = "127.0.0.1";
  private static final long EXPIRY_PACE_MS = 50;
  private static final long HEARTBEAT_MS = 1_000;
  private static final int ZONES = 2;

  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final SimulatedStore store = new SimulatedStore(timers);
  private Optional<RunStatistics> statistics = Optional.empty();
  private final List<SimulatedWorker> workers = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();

  private SimulatedPlatform(
      int workerCount, long taskMs, RunObserver observer, UnaryOperator<String> published) {
    servers.add(serve(store::answer));
    for (int i = 0; i < workerCount; i++) {
      SimulatedWorker worker = new SimulatedWorker("i-" + i, taskMs, timers, observer);
      workers.add(worker);
      Server server = serve(worker::answer);
      servers.add(server);
      String address = published.apply(LOOPBACK + ":" + server.activeLocalPort());
      String zone = "zone-" + (1 + i % ZONES);
      timers.scheduleAtFixedRate(
          () -> register(worker, address, zone), 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }
    timers.scheduleAtFixedRate(
        store::expireLeases, EXPIRY_PACE_MS, EXPIRY_PACE_MS, TimeUnit.MILLISECONDS);
  }

  /** Answers a request of the wire. */
  @FunctionalInterface
  private interface Answers {
    HttpResponse to(AggregatedHttpRequest request) throws IOException;
  }

  private static Server serve(Answers answers) {
    ServerBuilder builder =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .requestTimeoutMillis(0)
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder(
                "/",
                (ctx, request) ->
                    HttpResponse.of(
                        request
                            .aggregate()
                            .thenApply(
                                whole -> {
                                  try {
                                    return answers.to(whole);
                                  } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                  }
                                })));
    Server server = builder.build();
    server.start().join();
    return server;
  }

  /**
   * Starts a platform.
   *
   * @param workerCount number of workers of 8 processors and 32 GB each
   * @param taskMs how long each task runs, in milliseconds
   */
  public static SimulatedPlatform start(int workerCount, long taskMs) {
    RunStatistics ledger = new RunStatistics();
    SimulatedPlatform platform = start(workerCount, taskMs, ledger, UnaryOperator.identity());
    platform.statistics = Optional.of(ledger);
    return platform;
  }

  /**
   * Starts a platform that tells an observer what runs.
   *
   * @param published gives for a worker's address the one that it registers, such as a proxy's
   */
  public static SimulatedPlatform start(
      int workerCount, long taskMs, RunObserver observer, UnaryOperator<String> published) {
    return new SimulatedPlatform(workerCount, taskMs, observer, published);
  }

  private void register(SimulatedWorker worker, String address, String zone) {
    store.put(
        "servers/" + worker.id(),
        "{\"service\":\"service\",\"address\":\""
            + address
            + "\",\"zone\":\""
            + zone
            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            + "\"capacity\":{\"cpu\":8000,\"mem-mb\":32000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
            + "\"server-time-ms\":"
            + SimulatedWorker.clockMs()
            + ",\"born\":"
            + worker.born()
            + "}");
  }

  /** Writes a configuration with one queue. */
  public void configure(int version) {
    store.put(
        "op/config",
        "{\"version\":"
            + version
            + ",\"routes\":[{\"name\":\""
            + QUEUE_NAME
            + "\",\"host\":\""
            + QUEUE_HOST
            + "\",\"prefix\":\""
            + JOB_PATH_PREFIX
            + "\",\"timeout-ms\":3000,\"target-duration-ms\":300,\"priority\":0,"
            + "\"service\":\"service\",\"max-attempts\":3,\"stretch-factor\":1.5}],"
            + "\"services\":[{\"name\":\"service\",\"preconditions\":false}],"
            + "\"limits\":{\"max-body-bytes\":20000}}");
  }

  /** Takes an availability zone out, or back in. */
  public void setZoneWithdrawn(String zone, boolean out) {
    if (out) {
      store.put("op/evacuate/" + zone, "{}");
    } else {
      store.remove("op/evacuate/" + zone);
    }
  }

  /** Makes the store refuse everything, or serve again. */
  public void setStoreDown(boolean down) {
    store.down(down);
  }

  /**
   * Makes the store answer later than usual.
   *
   * @param delayMs the delay in milliseconds; 0 for none
   */
  public void setStoreDelay(long delayMs) {
    store.delay(delayMs);
  }

  /** Makes the store carry out so many transactions without answering. */
  public void dropResponses(int count) {
    store.loseAnswers(count);
  }

  /** Makes the store drop its history. */
  public void dropHistory() {
    store.forgetHistory();
  }

  /** Makes a worker fail all that it runs. */
  public void setWorkerFailing(int worker, boolean fail) {
    workers.get(worker).failAll(fail);
  }

  /** Returns what the store holds under a key; empty if nothing. */
  public String storedValue(String key) {
    return store.value(key);
  }

  /** Returns host and port of the store. */
  public String storeAddress() {
    return LOOPBACK + ":" + servers.get(0).activeLocalPort();
  }

  /** Makes a worker crash and begin a new life at once. */
  public void crashWorker(int worker) {
    workers.get(worker).crash();
  }

  /** Returns what ran, if no other observer was given. */
  public RunStatistics statistics() {
    return statistics.orElseThrow();
  }

  @Override
  public void close() {
    timers.shutdownNow();
    // Each server's threads take two seconds to end; all at once, not one after the other.
    List<CompletableFuture<Void>> stopped = servers.stream().map(Server::stop).toList();
    stopped.forEach(CompletableFuture::join);
  }
}
