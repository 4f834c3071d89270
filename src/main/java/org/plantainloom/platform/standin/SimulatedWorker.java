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

/**
 * Simulates a worker of the platform: fencing tokens, the lease, run numbers, and polls that return
 * running tasks and ended runs.
 */
@SuppressWarnings("FutureReturnValueIgnored") // timers run until the platform is closed
final class SimulatedWorker {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Tail latency that the worker reports for each run. */
  private static final int TAIL_LATENCY_MS = 5;

  private static final long EXPIRY_CHECK_INTERVAL_MS = 50;

  /** Longest lease that the worker grants; longer ones are shortened. */
  private static final long MAX_LEASE_MS = 6_000;

  private final String id;
  private final long taskMs;
  private final ScheduledExecutorService timers;
  private final RunObserver observer;
  private final Map<String, Run> activeRuns = new HashMap<>();
  private final Map<String, Long> highestSupersededRuns = new HashMap<>();
  private final List<ArrayNode> endedRuns = new ArrayList<>();
  private final List<CompletableFuture<HttpResponse>> pendingPolls = new ArrayList<>();
  private long startedAtMs = System.currentTimeMillis();
  private long highestFencingToken;
  private long leaseUntilMs;
  private long lastEndNumber;
  private boolean failing;

  private record Run(long number, long startedAtMs, int cpuPercent) {}

  /**
   * Creates a worker.
   *
   * @param taskMs how long each task runs, in milliseconds; one whose payload begins with {@code
   *     serve} does not end by itself
   */
  SimulatedWorker(String id, long taskMs, ScheduledExecutorService timers, RunObserver observer) {
    this.id = id;
    this.taskMs = taskMs;
    this.timers = timers;
    this.observer = observer;
    timers.scheduleAtFixedRate(
        this::expireLease,
        EXPIRY_CHECK_INTERVAL_MS,
        EXPIRY_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  String id() {
    return id;
  }

  synchronized long startedAtMs() {
    return startedAtMs;
  }

  /** Returns the time of the worker's clock, in milliseconds. */
  static long clockMs() {
    return nowMs();
  }

  /** Loses all active and ended runs and the lease, as a restart of the worker would. */
  synchronized void crash() {
    activeRuns.keySet().forEach(task -> observer.ended(task, id, "gone"));
    reportLostEnds();
    activeRuns.clear();
    highestSupersededRuns.clear();
    endedRuns.clear();
    highestFencingToken = 0;
    leaseUntilMs = 0;
    lastEndNumber = 0;
    startedAtMs = Math.max(startedAtMs + 1, System.currentTimeMillis());
  }

  private void reportLostEnds() {
    endedRuns.forEach(row -> observer.endReportLost(row.path(1).asText()));
  }

  synchronized void setFailing(boolean newFailing) {
    failing = newFailing;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  synchronized HttpResponse handle(AggregatedHttpRequest request) throws IOException {
    JsonNode body = JSON.readTree(request.contentUtf8());
    expireLease();
    long token = body.path("fencing-token").asLong();
    if (token < highestFencingToken) {
      return reject("fence");
    }
    highestFencingToken = token;
    return switch (request.path()) {
      case "/-/run-start" -> start(body);
      case "/-/run-stop" -> stop(body);
      case "/-/pace" -> ok();
      case "/-/hold" -> poll(body);
      default -> HttpResponse.of(HttpStatus.NOT_FOUND);
    };
  }

  private HttpResponse start(JsonNode body) {
    String task = body.path("task-id").asText();
    long runNumber = body.path("run-id").asLong();
    Run current = activeRuns.get(task);
    if (current != null && current.number() == runNumber) {
      return ok();
    }
    if (runNumber <= highestSupersededRuns.getOrDefault(task, 0L) || current != null) {
      return reject("old");
    }
    if (body.path("deadline-ms").asLong() < nowMs()) {
      return reject("late");
    }
    extendLease(body);
    activeRuns.put(task, new Run(runNumber, nowMs(), 100));
    String payload = body.path("spec").asText();
    observer.started(task, id, payload);
    if (!payload.startsWith("serve")) {
      timers.schedule(() -> finish(task, runNumber), taskMs, TimeUnit.MILLISECONDS);
    }
    return ok();
  }

  private synchronized void finish(String task, long runNumber) {
    Run current = activeRuns.get(task);
    if (current != null && current.number() == runNumber) {
      end(task, failing ? "failed" : "done");
    }
  }

  private void end(String task, String outcome) {
    Run current = activeRuns.remove(task);
    highestSupersededRuns.put(task, current.number());
    observer.ended(task, id, outcome);
    endedRuns.add(
        JSON.createArrayNode()
            .add(++lastEndNumber)
            .add(task)
            .add(current.number())
            .add(outcome)
            .add(""));
    pendingPolls.forEach(response -> response.complete(snapshot()));
    pendingPolls.clear();
  }

  private HttpResponse stop(JsonNode body) {
    String task = body.path("task-id").asText();
    long runNumber = body.path("run-id").asLong();
    highestSupersededRuns.merge(task, runNumber, Math::max);
    Run current = activeRuns.get(task);
    if (current != null && current.number() <= runNumber) {
      end(task, "stopped");
    }
    return ok();
  }

  private void extendLease(JsonNode body) {
    long requestedMs = Math.min(body.path("deadline-ms").asLong(), nowMs() + MAX_LEASE_MS);
    leaseUntilMs = Math.max(leaseUntilMs, requestedMs);
  }

  private HttpResponse poll(JsonNode body) {
    extendLease(body);
    endedRuns.removeIf(row -> row.path(0).asLong() <= body.path("last-seen").asLong());
    long waitMs = body.path("wait-ms").asLong();
    if (!endedRuns.isEmpty() || waitMs == 0) {
      return snapshot();
    }
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    pendingPolls.add(response);
    timers.schedule(() -> response.complete(synchronizedSnapshot()), waitMs, TimeUnit.MILLISECONDS);
    return HttpResponse.of(response);
  }

  private synchronized HttpResponse synchronizedSnapshot() {
    return snapshot();
  }

  private HttpResponse snapshot() {
    ObjectNode body =
        JSON.createObjectNode().put("server-time-ms", nowMs()).put("born", startedAtMs);
    ArrayNode rows = body.putArray("running");
    activeRuns.forEach(
        (task, run) -> {
          long percent = Math.min(100, 100 * (nowMs() - run.startedAtMs()) / Math.max(1, taskMs));
          rows.add(
              JSON.createArrayNode()
                  .add(task)
                  .add(run.number())
                  .add("")
                  .add(percent)
                  .add(TAIL_LATENCY_MS));
        });
    body.putArray("finished").addAll(endedRuns);
    return SimulatedStore.json(HttpStatus.OK, body);
  }

  /** Ends all runs if the lease has expired. */
  private synchronized void expireLease() {
    if (leaseUntilMs != 0 && leaseUntilMs < nowMs()) {
      leaseUntilMs = 0;
      reportLostEnds();
      new ArrayList<>(activeRuns.keySet()).forEach(task -> end(task, "lapsed"));
    }
  }

  private HttpResponse ok() {
    return SimulatedStore.json(
        HttpStatus.OK, JSON.createObjectNode().put("server-time-ms", nowMs()));
  }

  private HttpResponse reject(String reason) {
    return SimulatedStore.json(
        HttpStatus.CONFLICT,
        JSON.createObjectNode().put("server-time-ms", nowMs()).put("reason", reason));
  }
}
