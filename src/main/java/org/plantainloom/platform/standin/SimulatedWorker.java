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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulates a worker of the platform: fencing tokens, the lease, run numbers, and polls that return
 * running tasks and ended runs.
 */
@SuppressWarnings("FutureReturnValueIgnored") // timers run until the platform is closed
final class SimulatedWorker {
  private static final ObjectMapper JSON = new ObjectMapper();

  private static final String START_PATH = "/-/run-start";

  /** Tail latency that the worker reports for each run. */
  private static final int TAIL_LATENCY_MS = 5;

  private static final long EXPIRY_CHECK_INTERVAL_MS = 50;

  /** Longest lease that the worker grants; longer ones are shortened. */
  private static final long MAX_LEASE_MS = 6_000;

  /** Number of ended runs in one response; further ones follow once these are acknowledged. */
  private static final int MAX_LISTED_ENDS = 500;

  private static final Pattern DURATION = Pattern.compile(" for (\\d+) ms$");

  private final String id;
  private final String zone;
  private final WorkerClock clock;
  private final long taskMs;
  private final ScheduledExecutorService timers;
  private final RunObserver observer;
  private final Map<String, Run> activeRuns = new HashMap<>();
  private final Map<String, Long> highestSupersededRuns = new HashMap<>();
  private final List<EndedRun> endedRuns = new ArrayList<>();
  private final List<CompletableFuture<HttpResponse>> pendingPolls = new ArrayList<>();
  private long startedAtMs = System.currentTimeMillis();
  private long highestFencingToken;
  private long leaseUntilMs;
  private long lastEndNumber;
  private boolean failing;
  private boolean up = true;
  private long startDelayMs;

  /** Rises whenever the worker is shut down. */
  private long life;

  private record Run(ObservedRun identity, long startedAtMs, long durationMs) {
    long number() {
      return identity.number();
    }
  }

  private record EndedRun(long endNumber, ObservedRun run, String outcome) {
    ArrayNode row() {
      return JSON.createArrayNode()
          .add(endNumber)
          .add(run.task())
          .add(run.number())
          .add(outcome)
          .add("");
    }
  }

  /**
   * Creates a worker.
   *
   * @param taskMs how long each task runs, in milliseconds, unless its payload ends with another
   *     duration, as in {@code for 500 ms}; one whose payload begins with {@code serve} does not
   *     end by itself
   */
  SimulatedWorker(
      String id,
      String zone,
      WorkerClock clock,
      long taskMs,
      ScheduledExecutorService timers,
      RunObserver observer) {
    this.id = id;
    this.zone = zone;
    this.clock = clock;
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

  String zone() {
    return zone;
  }

  synchronized boolean isUp() {
    return up;
  }

  synchronized long startedAtMs() {
    return startedAtMs;
  }

  /** Returns the time of the worker's clock, in milliseconds. */
  long clockMs() {
    return clock.nowMs();
  }

  /** Loses all active and ended runs and the lease, as a restart of the worker would. */
  synchronized void crash() {
    activeRuns.values().forEach(run -> observer.ended(run.identity(), "gone"));
    reportLostEnds();
    activeRuns.clear();
    highestSupersededRuns.clear();
    endedRuns.clear();
    highestFencingToken = 0;
    leaseUntilMs = 0;
    lastEndNumber = 0;
    startedAtMs = Math.max(startedAtMs + 1, System.currentTimeMillis());
    clock.restart();
  }

  /** Crashes, and answers nothing until {@link #boot()}. */
  synchronized void shutDown() {
    up = false;
    life++;
    pendingPolls.clear();
    crash();
  }

  /** Starts again under the same id, without its state. */
  synchronized void boot() {
    crash();
    up = true;
  }

  private void reportLostEnds() {
    endedRuns.forEach(ended -> observer.endReportLost(ended.run()));
  }

  synchronized void setFailing(boolean newFailing) {
    failing = newFailing;
  }

  /** Leaves start commands unanswered and carries them out later; 0 for at once. */
  synchronized void setStartDelay(long newDelayMs) {
    startDelayMs = newDelayMs;
  }

  private long nowMs() {
    return clock.nowMs();
  }

  synchronized HttpResponse handle(AggregatedHttpRequest request) throws IOException {
    if (!up) {
      return HttpResponse.of(new CompletableFuture<>());
    }
    JsonNode body = JSON.readTree(request.contentUtf8());
    if (startDelayMs > 0 && request.path().equals(START_PATH)) {
      long expectedStartMs = startedAtMs;
      timers.schedule(() -> startLater(body, expectedStartMs), startDelayMs, TimeUnit.MILLISECONDS);
      return HttpResponse.of(new CompletableFuture<>());
    }
    return handle(request.path(), body, false);
  }

  /** Carries out a start command that was left unanswered, unless the worker restarted. */
  private synchronized void startLater(JsonNode body, long expectedStartMs) {
    if (up && startedAtMs == expectedStartMs) {
      handle(START_PATH, body, true);
    }
  }

  private HttpResponse handle(String path, JsonNode body, boolean delayed) {
    expireLease();
    long token = body.path("fencing-token").asLong();
    if (token < highestFencingToken) {
      return reject("fence");
    }
    highestFencingToken = token;
    return switch (path) {
      case START_PATH -> start(body, delayed);
      case "/-/run-stop" -> stop(body);
      case "/-/pace" -> ok();
      case "/-/hold" -> poll(body);
      default -> HttpResponse.of(HttpStatus.NOT_FOUND);
    };
  }

  private HttpResponse start(JsonNode body, boolean delayed) {
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
    String payload = body.path("spec").asText();
    Matcher duration = DURATION.matcher(payload);
    Run run =
        new Run(
            new ObservedRun(task, runNumber, id, zone, startedAtMs, highestFencingToken, delayed),
            nowMs(),
            duration.find() ? Long.parseLong(duration.group(1)) : taskMs);
    activeRuns.put(task, run);
    observer.started(run.identity(), payload);
    if (!payload.startsWith("serve")) {
      timers.schedule(() -> finish(task, run), run.durationMs(), TimeUnit.MILLISECONDS);
    }
    return ok();
  }

  private synchronized void finish(String task, Run run) {
    if (run.equals(activeRuns.get(task))) {
      end(task, failing ? "failed" : "done");
    }
  }

  private void end(String task, String outcome) {
    Run current = activeRuns.remove(task);
    highestSupersededRuns.put(task, current.number());
    observer.ended(current.identity(), outcome);
    endedRuns.add(new EndedRun(++lastEndNumber, current.identity(), outcome));
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
    acknowledgeEnds(body.path("last-seen").asLong());
    long waitMs = body.path("wait-ms").asLong();
    if (!endedRuns.isEmpty() || waitMs == 0) {
      return snapshot();
    }
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    pendingPolls.add(response);
    long expectedLife = life;
    timers.schedule(() -> completePoll(response, expectedLife), waitMs, TimeUnit.MILLISECONDS);
    return HttpResponse.of(response);
  }

  private void acknowledgeEnds(long lastSeen) {
    endedRuns.removeIf(
        ended -> {
          boolean seen = ended.endNumber() <= lastSeen;
          if (seen) {
            observer.endAcknowledged(ended.run());
          }
          return seen;
        });
  }

  /** Responds to a poll, unless the worker was shut down since then. */
  private synchronized void completePoll(
      CompletableFuture<HttpResponse> response, long expectedLife) {
    if (life == expectedLife) {
      response.complete(snapshot());
    }
  }

  private HttpResponse snapshot() {
    ObjectNode body =
        JSON.createObjectNode().put("server-time-ms", nowMs()).put("born", startedAtMs);
    ArrayNode rows = body.putArray("running");
    activeRuns.forEach(
        (task, run) -> {
          long percent =
              Math.min(100, 100 * (nowMs() - run.startedAtMs()) / Math.max(1, run.durationMs()));
          rows.add(
              JSON.createArrayNode()
                  .add(task)
                  .add(run.number())
                  .add("")
                  .add(percent)
                  .add(TAIL_LATENCY_MS));
        });
    body.putArray("finished")
        .addAll(endedRuns.stream().limit(MAX_LISTED_ENDS).map(EndedRun::row).toList());
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
