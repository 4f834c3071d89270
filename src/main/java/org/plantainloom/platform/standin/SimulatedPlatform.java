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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * Simulates the users' platform on loopback: a store and workers that follow its protocol.
 *
 * <pre>{@code
 * try (SimulatedPlatform platform = SimulatedPlatform.start(3, 200)) {
 *   platform.configure(1);
 *   …
 * }
 * }</pre>
 */
@SuppressWarnings("FutureReturnValueIgnored") // timers run until the platform is closed
public final class SimulatedPlatform implements AutoCloseable {
  /** Value of the {@code Host} header that routes a request to the only queue. */
  public static final String QUEUE_HOST = "queue.example";

  /** Prefix of the paths of the queue's jobs. */
  public static final String JOB_PATH_PREFIX = "/jobs/";

  /** Name of the queue. */
  public static final String QUEUE_NAME = "queue";

  private static final String LOOPBACK = "127.0.0.1";
  private static final long EXPIRY_CHECK_INTERVAL_MS = 50;
  private static final long REGISTRATION_INTERVAL_MS = 1_000;
  private static final long REGISTRATION_CHECK_INTERVAL_MS = 100;

  /** Silence of a worker after which the store drops its registration. */
  private static final long REGISTRATION_TTL_MS = 3_300;

  private static final int ZONE_COUNT = 2;

  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
  private final SimulatedStore store = new SimulatedStore(timers);
  private Optional<RunStatistics> statistics = Optional.empty();
  private final List<SimulatedWorker> workers = new ArrayList<>();
  private final List<Registration> registrations = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final Map<String, String> servicesByWorker = new ConcurrentHashMap<>();

  /** The entry of a worker in the store, which expires when the worker no longer renews it. */
  private final class Registration {
    private final SimulatedWorker worker;
    private final String address;
    private volatile boolean reachesStore = true;
    private boolean stored;
    private long renewedMs;

    Registration(SimulatedWorker worker, String address) {
      this.worker = worker;
      this.address = address;
    }

    void renewOrExpire() {
      long nowMs = System.nanoTime() / 1_000_000;
      if (reachesStore && worker.isUp()) {
        if (!stored || nowMs - renewedMs >= REGISTRATION_INTERVAL_MS) {
          register(worker, address);
          stored = true;
          renewedMs = nowMs;
        }
      } else if (stored && nowMs - renewedMs >= REGISTRATION_TTL_MS) {
        store.remove(key(worker));
        stored = false;
      }
    }
  }

  private SimulatedPlatform(
      WorkerLayout layout, RunObserver observer, UnaryOperator<String> publishedAddress) {
    servers.add(serve(store::handle));
    for (int i = 0; i < layout.workers(); i++) {
      SimulatedWorker worker =
          new SimulatedWorker(
              "i-" + i,
              WorkerLayout.zoneName(layout.zoneOf(i)),
              layout.clock(i),
              layout.taskMs(),
              timers,
              observer);
      workers.add(worker);
      Server server = serve(worker::handle);
      servers.add(server);
      String address = publishedAddress.apply(address(server));
      Registration registration = new Registration(worker, address);
      registrations.add(registration);
      timers.scheduleAtFixedRate(
          registration::renewOrExpire, 0, REGISTRATION_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
    timers.scheduleAtFixedRate(
        store::expireLeases,
        EXPIRY_CHECK_INTERVAL_MS,
        EXPIRY_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Handles an HTTP request. */
  @FunctionalInterface
  private interface RequestHandler {
    HttpResponse handle(AggregatedHttpRequest request) throws IOException;
  }

  private static Server serve(RequestHandler handler) {
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
                                aggregated -> {
                                  try {
                                    return handler.handle(aggregated);
                                  } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                  }
                                })));
    Server server = builder.build();
    server.start().join();
    return server;
  }

  /**
   * Starts a platform that counts in {@link #statistics()} what its workers run.
   *
   * @param workerCount number of workers of 8 processors and 32 GB each
   * @param taskMs how long each task runs, in milliseconds
   */
  public static SimulatedPlatform start(int workerCount, long taskMs) {
    RunStatistics statistics = new RunStatistics();
    SimulatedPlatform platform = start(workerCount, taskMs, statistics, UnaryOperator.identity());
    platform.statistics = Optional.of(statistics);
    return platform;
  }

  /**
   * Starts a platform whose workers report to an observer.
   *
   * @param publishedAddress maps a worker's address to the one that it registers, such as that of a
   *     proxy
   */
  public static SimulatedPlatform start(
      int workerCount, long taskMs, RunObserver observer, UnaryOperator<String> publishedAddress) {
    return new SimulatedPlatform(
        new WorkerLayout(workerCount, ZONE_COUNT, taskMs, false), observer, publishedAddress);
  }

  /** Starts a platform whose workers report to an observer. */
  public static SimulatedPlatform start(WorkerLayout layout, RunObserver observer) {
    return new SimulatedPlatform(layout, observer, UnaryOperator.identity());
  }

  private static String address(Server server) {
    return LOOPBACK + ":" + server.activeLocalPort();
  }

  private static String key(SimulatedWorker worker) {
    return "servers/" + worker.id();
  }

  private void register(SimulatedWorker worker, String address) {
    store.put(
        key(worker),
        "{\"service\":\""
            + servicesByWorker.getOrDefault(worker.id(), SimulatedQueue.FIRST.service())
            + "\",\"address\":\""
            + address
            + "\",\"zone\":\""
            + worker.zone()
            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            + "\"capacity\":{\"cpu\":8000,\"mem-mb\":32000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
            + "\"server-time-ms\":"
            + worker.clockMs()
            + ",\"born\":"
            + worker.startedAtMs()
            + "}");
  }

  /** Writes a configuration with one queue to the store. */
  public void configure(int version) {
    configure(version, List.of(SimulatedQueue.FIRST));
  }

  /** Writes a configuration to the store, which has acknowledged it on return. */
  public void configure(int version, List<SimulatedQueue> queues) {
    String routes = queues.stream().map(SimulatedQueue::route).collect(Collectors.joining(","));
    String services =
        queues.stream()
            .map(SimulatedQueue::service)
            .distinct()
            .map(service -> "{\"name\":\"" + service + "\",\"preconditions\":false}")
            .collect(Collectors.joining(","));
    store.put(
        "op/config",
        "{\"version\":"
            + version
            + ",\"routes\":["
            + routes
            + "],\"services\":["
            + services
            + "],\"limits\":{\"max-body-bytes\":20000}}");
  }

  /** Writes an entry as another writer may: below the workers' prefix, with any text. */
  public void putWorkerEntry(String id, String text) {
    store.put("servers/" + id, text);
  }

  /** Withdraws an availability zone, or makes it available again. */
  public void setZoneWithdrawn(String zone, boolean withdrawn) {
    if (withdrawn) {
      store.put("op/evacuate/" + zone, "{}");
    } else {
      store.remove("op/evacuate/" + zone);
    }
  }

  /** Makes the store reject all requests, or serve them again. */
  public void setStoreDown(boolean down) {
    store.setDown(down);
  }

  /**
   * Delays all responses of the store.
   *
   * @param delayMs the delay in milliseconds; 0 for none
   */
  public void setStoreDelay(long delayMs) {
    store.setDelay(delayMs);
  }

  /** Makes the store commit the next {@code count} transactions without a response. */
  public void dropResponses(int count) {
    store.dropResponses(count);
  }

  /** Makes the store drop its history, so that watches from an earlier revision fail. */
  public void dropHistory() {
    store.dropHistory();
  }

  /** Assigns a worker to a service from its next registration on. */
  public void assignWorker(int worker, String service) {
    servicesByWorker.put(workers.get(worker).id(), service);
  }

  /** Makes the tasks that end on a worker fail, or makes them complete again. */
  public void setWorkerFailing(int worker, boolean failing) {
    workers.get(worker).setFailing(failing);
  }

  /**
   * Makes a worker leave start commands unanswered and carry them out later.
   *
   * @param delayMs the delay in milliseconds; 0 for none
   */
  public void setWorkerStartDelay(int worker, long delayMs) {
    workers.get(worker).setStartDelay(delayMs);
  }

  /** Writes a key of the store without a lease, as another writer may. */
  public void overwrite(String key, String value) {
    store.put(key, value);
  }

  /** Removes a key of the store, as another writer may. */
  public void remove(String key) {
    store.remove(key);
  }

  /** Returns the value of a key of the store; empty if there is none. */
  public String storedValue(String key) {
    return store.value(key);
  }

  /** Returns host and port of the store. */
  public String storeAddress() {
    return address(servers.get(0));
  }

  /** Opens a further address of the store, for one node. */
  public StoreView openStoreView() {
    StoreView view = new StoreView(store);
    Server server = serve(view::handle);
    servers.add(server);
    view.listenAt(address(server));
    return view;
  }

  /** Returns host and port that a worker registers. */
  public String workerAddress(int worker) {
    return registrations.get(worker).address;
  }

  /** Cuts a worker off from the store, so that its registration expires, or connects it again. */
  public void setWorkerReachesStore(int worker, boolean reaches) {
    registrations.get(worker).reachesStore = reaches;
  }

  /** Makes a worker crash and restart at once without its state. */
  public void crashWorker(int worker) {
    workers.get(worker).crash();
  }

  /** Makes a worker crash and answer nothing until it is started again. */
  public void shutDownWorker(int worker) {
    workers.get(worker).shutDown();
  }

  /** Starts a worker again under its id, without its state. */
  public void bootWorker(int worker) {
    workers.get(worker).boot();
  }

  /** Returns the counts of runs; fails if the platform was started with an observer. */
  public RunStatistics statistics() {
    return statistics.orElseThrow();
  }

  @Override
  public void close() {
    timers.shutdownNow();
    // Their event loops go on for a quiet period of two seconds, which nobody has to wait for.
    servers.forEach(Server::stop);
  }
}
