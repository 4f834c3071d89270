package org.plantainloom.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A worker of the platform in the small: fencing, leases, run numbers, ends, looks. */
@SuppressWarnings("FutureReturnValueIgnored") // timers run until the stand-in is closed
final class SimulatedWorker {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int TAIL_MS = 5;
  private static final long EXPIRY_PACE_MS = 50;

  /** Longest lease that is granted. */
  private static final long MAX_LEASE_MS = 6_000;

  private final String id;
  private final long taskMs;
  private final ScheduledExecutorService timers;
  private final RunObserver observer;
  private final Map<String, Running> running = new HashMap<>();
  private final Map<String, Long> superseded = new HashMap<>();
  private final List<ArrayNode> ended = new ArrayList<>();
  private final List<CompletableFuture<HttpResponse>> looks = new ArrayList<>();
  private long born = System.currentTimeMillis();
  private long fence;
  private long leaseUntil;
  private long lastEnd;
  private boolean failing;

  private record Running(long run, long sinceMs, int pace) {}

  /**
   * Creates a worker.
   *
   * @param taskMs how long each task runs; one whose payload begins with {@code serve} never ends
   */
  SimulatedWorker(String id, long taskMs, ScheduledExecutorService timers, RunObserver observer) {
    this.id = id;
    this.taskMs = taskMs;
    this.timers = timers;
    this.observer = observer;
    timers.scheduleAtFixedRate(this::expire, EXPIRY_PACE_MS, EXPIRY_PACE_MS, TimeUnit.MILLISECONDS);
  }

  String id() {
    return id;
  }

  synchronized long born() {
    return born;
  }

  /** The worker's clock, in milliseconds. */
  static long clockMs() {
    return now();
  }

  /** Ends the worker's life and begins another that knows nothing. */
  synchronized void crash() {
    running.keySet().forEach(task -> observer.ended(task, id, "gone"));
    voidEnds();
    running.clear();
    superseded.clear();
    ended.clear();
    fence = 0;
    leaseUntil = 0;
    lastEnd = 0;
    born = Math.max(born + 1, System.currentTimeMillis());
  }

  private void voidEnds() {
    ended.forEach(row -> observer.endReportLost(row.path(1).asText()));
  }

  synchronized void failAll(boolean fail) {
    failing = fail;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  synchronized HttpResponse answer(AggregatedHttpRequest request) throws IOException {
    JsonNode body = JSON.readTree(request.contentUtf8());
    expire();
    long token = body.path("fencing-token").asLong();
    if (token < fence) {
      return refuse("fence");
    }
    fence = token;
    return switch (request.path()) {
      case "/-/run-start" -> start(body);
      case "/-/run-stop" -> stop(body);
      case "/-/pace" -> ok();
      case "/-/hold" -> look(body);
      default -> HttpResponse.of(HttpStatus.NOT_FOUND);
    };
  }

  private HttpResponse start(JsonNode body) {
    String task = body.path("task-id").asText();
    long run = body.path("run-id").asLong();
    Running known = running.get(task);
    if (known != null && known.run() == run) {
      return ok();
    }
    if (run <= superseded.getOrDefault(task, 0L) || known != null) {
      return refuse("old");
    }
    if (body.path("deadline-ms").asLong() < now()) {
      return refuse("late");
    }
    extendLease(body);
    running.put(task, new Running(run, now(), 100));
    String payload = body.path("spec").asText();
    observer.started(task, id, payload);
    if (!payload.startsWith("serve")) {
      timers.schedule(() -> finish(task, run), taskMs, TimeUnit.MILLISECONDS);
    }
    return ok();
  }

  private synchronized void finish(String task, long run) {
    Running known = running.get(task);
    if (known != null && known.run() == run) {
      end(task, failing ? "failed" : "done");
    }
  }

  private void end(String task, String how) {
    Running known = running.remove(task);
    superseded.put(task, known.run());
    observer.ended(task, id, how);
    ended.add(JSON.createArrayNode().add(++lastEnd).add(task).add(known.run()).add(how).add(""));
    looks.forEach(look -> look.complete(report()));
    looks.clear();
  }

  private HttpResponse stop(JsonNode body) {
    String task = body.path("task-id").asText();
    long run = body.path("run-id").asLong();
    superseded.merge(task, run, Math::max);
    Running known = running.get(task);
    if (known != null && known.run() <= run) {
      end(task, "stopped");
    }
    return ok();
  }

  private void extendLease(JsonNode body) {
    long asked = Math.min(body.path("deadline-ms").asLong(), now() + MAX_LEASE_MS);
    leaseUntil = Math.max(leaseUntil, asked);
  }

  private HttpResponse look(JsonNode body) {
    extendLease(body);
    ended.removeIf(row -> row.path(0).asLong() <= body.path("last-seen").asLong());
    long wait = body.path("wait-ms").asLong();
    if (!ended.isEmpty() || wait == 0) {
      return report();
    }
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    looks.add(answer);
    timers.schedule(() -> answer.complete(lockedReport()), wait, TimeUnit.MILLISECONDS);
    return HttpResponse.of(answer);
  }

  private synchronized HttpResponse lockedReport() {
    return report();
  }

  private HttpResponse report() {
    ObjectNode body = JSON.createObjectNode().put("server-time-ms", now()).put("born", born);
    ArrayNode rows = body.putArray("running");
    running.forEach(
        (task, run) -> {
          long percent = Math.min(100, 100 * (now() - run.sinceMs()) / Math.max(1, taskMs));
          rows.add(
              JSON.createArrayNode().add(task).add(run.run()).add("").add(percent).add(TAIL_MS));
        });
    body.putArray("finished").addAll(ended);
    return SimulatedStore.json(HttpStatus.OK, body);
  }

  /** Ends everything when the lease is over. */
  private synchronized void expire() {
    if (leaseUntil != 0 && leaseUntil < now()) {
      leaseUntil = 0;
      voidEnds();
      new ArrayList<>(running.keySet()).forEach(task -> end(task, "lapsed"));
    }
  }

  private HttpResponse ok() {
    return SimulatedStore.json(HttpStatus.OK, JSON.createObjectNode().put("server-time-ms", now()));
  }

  private HttpResponse refuse(String reason) {
    return SimulatedStore.json(
        HttpStatus.CONFLICT,
        JSON.createObjectNode().put("server-time-ms", now()).put("reason", reason));
  }
}
