import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Stand-ins of the platform on loopback: the metadata store and the workers. */
final class Platform {
  static final ObjectMapper JSON = new ObjectMapper();
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Platform() {}

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Answers a request; a null answer closes the connection without one. */
  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, String body)
        throws Exception;
  }

  record Answer(int status, JsonNode body) {}

  static HttpServer serve(Handler handler) throws IOException {
    return serve(handler, 0);
  }

  static HttpServer serve(Handler handler, int port) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(handler, exchange));
    server.start();
    return server;
  }

  static String address(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void answer(Handler handler, HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> query = new HashMap<>();
      String text = exchange.getRequestURI().getRawQuery();
      for (String pair : text == null ? new String[0] : text.split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
      Answer answer =
          handler.handle(
              exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
      if (answer == null) {
        return;
      }
      byte[] bytes = answer.body() == null ? new byte[0] : JSON.writeValueAsBytes(answer.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      e.printStackTrace();
    }
  }

  /** The metadata store. */
  static final class Store {
    private record Item(String value, long revision, long created, long lease) {}

    private record Lease(long ttlMs, long untilMs) {}

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    static final int MAX_VALUE_BYTES = 1_048_576;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long nextLease = 1;

    /** Transactions with a value that is too large. */
    volatile int refused;

    /** How long each answer takes. */
    volatile long delayMs;

    final HttpServer server;

    Store() throws IOException {
      server = serve(this::handle);
      TIMERS.scheduleAtFixedRate(this::expire, 20, 20, TimeUnit.MILLISECONDS);
    }

    synchronized void put(String key, String text) {
      revision++;
      write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
      notifyAll();
    }

    synchronized void remove(String key) {
      revision++;
      removeItem(key);
      notifyAll();
    }

    synchronized String text(String key) {
      Item item = items.get(key);
      return item == null
          ? ""
          : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized int count(String prefix) {
      return items.subMap(prefix, prefix + "\uffff").size();
    }

    synchronized long revision() {
      return revision;
    }

    private void write(String key, String value, long lease) {
      Item old = items.get(key);
      Item item = new Item(value, revision, old == null ? revision : old.created(), lease);
      items.put(key, item);
      history.add(json(key, item));
    }

    private void removeItem(String key) {
      if (items.remove(key) != null) {
        history.add(
            JSON.createObjectNode().put("key", key).put("revision", revision).put("compacted", true));
      }
    }

    private static ObjectNode json(String key, Item item) {
      return JSON.createObjectNode()
          .put("key", key)
          .put("value", item.value())
          .put("revision", item.revision())
          .put("created-rev", item.created())
          .put("lease-id", item.lease());
    }

    private synchronized void expire() {
      long now = nowMs();
      List<Long> over =
          leases.entrySet().stream()
              .filter(e -> e.getValue().untilMs() < now)
              .map(Map.Entry::getKey)
              .toList();
      over.forEach(this::endLease);
    }

    private void endLease(long id) {
      leases.remove(id);
      List<String> keys =
          items.entrySet().stream()
              .filter(e -> e.getValue().lease() == id)
              .map(Map.Entry::getKey)
              .toList();
      if (!keys.isEmpty()) {
        revision++;
        keys.forEach(this::removeItem);
        notifyAll();
      }
    }

    private Answer handle(String method, String path, Map<String, String> query, String body)
        throws Exception {
      if (path.equals("/-/kv-watch")) {
        Answer answer = watch(query);
        Thread.sleep(delayMs);
        return answer;
      }
      Thread.sleep(delayMs);
      synchronized (this) {
        if (path.equals("/-/kv-key")) {
          Item item = items.get(query.get("key"));
          return item == null
              ? new Answer(404, null)
              : new Answer(200, json(query.get("key"), item).put("at", revision));
        } else if (path.equals("/-/kv-range")) {
          return range(query.get("prefix"), query.getOrDefault("after", ""));
        } else if (path.equals("/-/kv-txn")) {
          return transaction(JSON.readTree(body));
        } else if (path.equals("/-/kv-lease")) {
          long ttl = Math.max(1000, JSON.readTree(body).path("ttl-ms").asLong());
          long id = nextLease++;
          leases.put(id, new Lease(ttl, nowMs() + ttl));
          return new Answer(200, JSON.createObjectNode().put("lease-id", id).put("ttl-ms", ttl));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
          return new Answer(404, null);
        }
        if (method.equals("DELETE")) {
          endLease(id);
        } else {
          leases.put(id, new Lease(lease.ttlMs(), nowMs() + lease.ttlMs()));
        }
        return new Answer(200, JSON.createObjectNode().put("ttl-ms", lease.ttlMs()));
      }
    }

    private Answer range(String prefix, String after) {
      ObjectNode body = JSON.createObjectNode();
      ArrayNode rows = body.putArray("items");
      long bytes = 0;
      boolean more = false;
      for (Map.Entry<String, Item> e :
          (after.isEmpty() ? items.tailMap(prefix, true) : items.tailMap(after, false)).entrySet()) {
        if (!e.getKey().startsWith(prefix)) {
          break;
        }
        if (rows.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
          more = true;
          break;
        }
        rows.add(json(e.getKey(), e.getValue()));
        bytes += e.getValue().value().length();
      }
      return new Answer(200, body.put("has-more", more).put("at", revision));
    }

    private synchronized Answer watch(Map<String, String> query) throws InterruptedException {
      String prefix = query.get("prefix");
      long after = Long.parseLong(query.get("after"));
      long untilMs = nowMs() + Long.parseLong(query.getOrDefault("wait-ms", "0"));
      while (true) {
        ArrayNode events = JSON.createArrayNode();
        int first = history.size();
        while (first > 0 && history.get(first - 1).path("revision").asLong() > after) {
          first--;
        }
        for (ObjectNode event : history.subList(first, history.size())) {
          if (event.path("key").asText().startsWith(prefix)) {
            events.add(event);
          }
        }
        long left = untilMs - nowMs();
        if (!events.isEmpty() || left <= 0) {
          ObjectNode body = JSON.createObjectNode();
          body.set("events", events);
          return new Answer(200, body.put("at", revision));
        }
        wait(left);
      }
    }

    private Answer transaction(JsonNode body) {
      ArrayNode current = JSON.createArrayNode();
      boolean holds = true;
      for (JsonNode row : body.path("expected-rev")) {
        Item item = items.get(row.path("key").asText());
        holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
        if (item != null) {
          current.add(json(row.path("key").asText(), item));
        }
      }
      if (!holds) {
        ObjectNode conflict = JSON.createObjectNode();
        conflict.set("items", current);
        return new Answer(412, conflict);
      }
      for (JsonNode row : body.path("writes")) {
        if (row.path("value").asText().length() > (MAX_VALUE_BYTES + 2) / 3 * 4) {
          refused++;
          return new Answer(400, null);
        }
        long lease = row.path("lease-id").asLong();
        if (lease != 0 && !leases.containsKey(lease)) {
          return new Answer(404, null);
        }
      }
      revision++;
      for (JsonNode row : body.path("writes")) {
        write(row.path("key").asText(), row.path("value").asText(), row.path("lease-id").asLong());
      }
      body.path("remove").forEach(key -> removeItem(key.asText()));
      notifyAll();
      return new Answer(200, JSON.createObjectNode().put("revision", revision));
    }
  }

  /** What is told of the runs of all workers. */
  interface Observer {
    void started(Worker worker, String task, long run, long fence);

    void ended(Worker worker, String task, long run, String how);

    /** An end was taken note of: an owner's {@code last-seen} has reached it. */
    default void noted(Worker worker, String task, long run) {}
  }

  /**
   * A worker with 32 cores and 125 GB. The first words of a task's spec say what it does: {@code
   * work 300} ends after 300 ms, {@code fails 300} fails then, {@code lasts} goes on.
   */
  static final class Worker {
    private record Run(long number, long sinceMs, long lengthMs, long figure) {}

    private static final long MAX_HOLD_MS = 6_000;

    /** The fifth entry of a row of a task whose spec does not name it as its third word. */
    private static final long FIGURE = 5;

    final String id;
    final String zone;
    private volatile HttpServer server;
    private final int port;
    private final Store store;
    private final Observer observer;
    private long born = System.currentTimeMillis();
    private boolean up = true;
    private final Map<String, Run> running = new TreeMap<>();
    private final Map<String, Long> superseded = new HashMap<>();
    private final List<ArrayNode> finished = new ArrayList<>();
    private long ends;
    private long fence;
    private long leaseUntilMs;
    private long sequence;

    Worker(int number, String zone, Store store, Observer observer) throws IOException {
      this.id = "w-" + number;
      this.zone = zone;
      this.store = store;
      this.observer = observer;
      this.server = serve(this::handle);
      this.port = server.getAddress().getPort();
      TIMERS.scheduleAtFixedRate(this::report, 0, 1_100, TimeUnit.MILLISECONDS);
      TIMERS.scheduleAtFixedRate(this::expire, 20, 20, TimeUnit.MILLISECONDS);
    }

    /** Loses all that it runs, knows and has connected, and starts again at its address later. */
    void crash(long downMs) {
      synchronized (this) {
        up = false;
        running.forEach((task, run) -> observer.ended(this, task, run.number(), "crash"));
        running.clear();
        superseded.clear();
        finished.clear();
        ends = 0;
        fence = 0;
        leaseUntilMs = 0;
        sequence = 0;
      }
      server.stop(0);
      TIMERS.schedule(this::boot, downMs, TimeUnit.MILLISECONDS);
    }

    private void boot() {
      try {
        synchronized (this) {
          born = System.currentTimeMillis();
          up = true;
        }
        server = serve(this::handle, port);
        report();
      } catch (IOException e) {
        e.printStackTrace();
      }
    }

    private synchronized void report() {
      if (!up) {
        return;
      }
      ObjectNode entry = JSON.createObjectNode();
      entry.put("service", "desk").put("address", "127.0.0.1:" + port).put("zone", zone);
      entry.put("version", "v1").put("slots", 8).put("state", "ready").put("cold-left-ms", 0);
      entry.put("seq-no", ++sequence).put("born", born).put("server-time-ms", nowMs());
      entry.putObject("capacity").put("cpu", 32_000).put("mem-mb", 125_000).put("gpu", 0);
      entry.putArray("labels").add("k0").add("r" + (Integer.parseInt(id.substring(2)) % 4));
      store.put("servers/" + id, entry.toString());
    }

    private synchronized void expire() {
      if (leaseUntilMs != 0 && leaseUntilMs < nowMs()) {
        leaseUntilMs = 0;
        new ArrayList<>(running.keySet()).forEach(task -> end(task, "lapsed"));
      }
    }

    private void end(String task, String how) {
      Run run = running.remove(task);
      superseded.merge(task, run.number(), Math::max);
      finished.add(JSON.createArrayNode().add(++ends).add(task).add(run.number()).add(how).add(""));
      observer.ended(this, task, run.number(), how);
      notifyAll();
    }

    private synchronized void finish(String task, Run run, String how) {
      if (run.equals(running.get(task))) {
        end(task, how);
      }
    }

    private synchronized Answer handle(
        String method, String path, Map<String, String> query, String text) throws Exception {
      if (!up) {
        return null;
      }
      JsonNode body = JSON.readTree(text);
      long token = body.path("fencing-token").asLong();
      if (token < fence) {
        return reject("fence");
      }
      fence = token;
      return switch (path) {
        case "/-/run-start" -> start(body);
        case "/-/run-stop" -> stop(body);
        case "/-/hold" -> hold(body);
        case "/-/pace" -> new Answer(200, time());
        default -> new Answer(404, null);
      };
    }

    private Answer start(JsonNode body) {
      String task = body.path("task-id").asText();
      long number = body.path("run-id").asLong();
      Run current = running.get(task);
      if (current != null && current.number() == number) {
        return new Answer(200, time());
      }
      if (current != null || number <= superseded.getOrDefault(task, 0L)) {
        return reject("old");
      }
      if (body.path("deadline-ms").asLong() < nowMs()) {
        return reject("late");
      }
      extend(body);
      String[] spec = body.path("spec").asText().split(" ");
      long lengthMs = spec[0].equals("lasts") ? -1 : Long.parseLong(spec[1]);
      String how = spec[0].equals("fails") ? "failed" : "done";
      boolean hasFigure = spec.length > 2 && spec[2].matches("[0-9]+");
      long figure = hasFigure ? Long.parseLong(spec[2]) : FIGURE;
      Run run = new Run(number, nowMs(), lengthMs, figure);
      running.put(task, run);
      observer.started(this, task, number, fence);
      if (lengthMs >= 0) {
        TIMERS.schedule(() -> finish(task, run, how), lengthMs, TimeUnit.MILLISECONDS);
      }
      return new Answer(200, time());
    }

    private Answer stop(JsonNode body) {
      String task = body.path("task-id").asText();
      long number = body.path("run-id").asLong();
      superseded.merge(task, number, Math::max);
      Run current = running.get(task);
      if (current != null && current.number() <= number) {
        end(task, "stopped");
      }
      return new Answer(200, time());
    }

    private void extend(JsonNode body) {
      leaseUntilMs =
          Math.max(
              leaseUntilMs, Math.min(body.path("deadline-ms").asLong(), nowMs() + MAX_HOLD_MS));
    }

    private Answer hold(JsonNode body) throws InterruptedException {
      extend(body);
      long seen = body.path("last-seen").asLong();
      for (ArrayNode row : finished) {
        if (row.get(0).asLong() <= seen) {
          observer.noted(this, row.get(1).asText(), row.get(2).asLong());
        }
      }
      finished.removeIf(row -> row.get(0).asLong() <= seen);
      long life = born;
      long untilMs = nowMs() + body.path("wait-ms").asLong();
      for (long left = untilMs - nowMs(); finished.isEmpty() && left > 0; left = untilMs - nowMs()) {
        wait(left);
        if (life != born) {
          return null;
        }
      }
      ObjectNode answer = time().put("born", born);
      ArrayNode rows = answer.putArray("running");
      running.forEach(
          (task, run) -> {
            long percent =
                run.lengthMs() < 0
                    ? 100
                    : Math.min(99, 100 * (nowMs() - run.sinceMs()) / Math.max(1, run.lengthMs()));
            rows.add(JSON.createArrayNode().add(task).add(run.number()).add("").add(percent).add(run.figure()));
          });
      answer.putArray("finished").addAll((Collection<? extends JsonNode>) finished.stream().limit(500).toList());
      return new Answer(200, answer);
    }

    private ObjectNode time() {
      return JSON.createObjectNode().put("server-time-ms", nowMs());
    }

    private Answer reject(String reason) {
      return new Answer(409, time().put("reason", reason));
    }
  }
}
