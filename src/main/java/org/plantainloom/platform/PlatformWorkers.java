package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.StartTaskCommand;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.TaskWorkers;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;

/** HTTP client of the platform's workers. */
public final class PlatformWorkers implements TaskWorkers {
  /** Workers respond to commands without delay; the longest round trip takes 16 ms. */
  private static final long COMMAND_TIMEOUT_MS = 600;

  /** Time that the network and a busy worker may add to the requested wait of a poll. */
  private static final long POLL_SLACK_MS = 500;

  /** Shortest timeout of a poll; a process that has just started sends its first ones slowly. */
  private static final long SHORTEST_POLL_TIMEOUT_MS = 700;

  /** A worker lists no more ended runs at a time. */
  static final int MAX_LISTED_ENDS = 500;

  private static final Map<String, RunOutcome> OUTCOMES =
      Map.of(
          "done", RunOutcome.DONE,
          "failed", RunOutcome.FAILED,
          "stopped", RunOutcome.STOPPED,
          "lapsed", RunOutcome.LEASE_LAPSED,
          "broken", RunOutcome.GANG_BROKEN,
          "alone", RunOutcome.GANG_INCOMPLETE);

  private static final Map<String, CommandReply> REPLIES_BY_REASON =
      Map.of(
          "fence", CommandReply.FENCED,
          "old", CommandReply.RUN_SUPERSEDED,
          "late", CommandReply.TOO_LATE,
          "room", CommandReply.NO_ROOM,
          "ticket", CommandReply.NO_PERMIT);

  private final PlatformHttpClient client;

  /** Creates a client. */
  public PlatformWorkers(PlatformHttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<CommandReply> start(
      WorkerRegistration worker, StartTaskCommand command, long leaseUntilMs, long fencingToken) {
    ObjectNode body = runBody(command.task(), command.run(), fencingToken);
    body.put("spec", command.payload()).put("deadline-ms", leaseUntilMs);
    if (!command.checkpoint().isEmpty()) {
      body.put("checkpoint", command.checkpoint());
    }
    if (!command.permit().isEmpty()) {
      body.put("ticket", command.permit());
    }
    // A start that is sent late may follow the acknowledgement of its job's cancellation.
    return client
        .sendWithin(
            HttpMethod.POST,
            worker.address(),
            "/-/run-start",
            expectedInstance(worker),
            body.toString(),
            COMMAND_TIMEOUT_MS)
        .thenApply(PlatformWorkers::commandReply);
  }

  @Override
  public CompletableFuture<CommandReply> stop(
      WorkerRegistration worker, TaskKey task, long run, long fencingToken) {
    return sendCommand(worker, "/-/run-stop", runBody(task, run, fencingToken));
  }

  @Override
  public CompletableFuture<CommandReply> limitCpu(
      WorkerRegistration worker, TaskKey task, long run, int percent, long fencingToken) {
    // Despite its name, the field is the share of its processor time that the run may use.
    return sendCommand(
        worker, "/-/pace", runBody(task, run, fencingToken).put("progress-percent", percent));
  }

  private static ObjectNode runBody(TaskKey task, long run, long fencingToken) {
    return PlatformJson.object()
        .put("task-id", task.toString())
        .put("run-id", run)
        .put("fencing-token", fencingToken);
  }

  private CompletableFuture<CommandReply> sendCommand(
      WorkerRegistration worker, String path, ObjectNode body) {
    return send(worker, path, body, 0, COMMAND_TIMEOUT_MS).thenApply(PlatformWorkers::commandReply);
  }

  private CompletableFuture<PlatformHttpReply> send(
      WorkerRegistration worker, String path, ObjectNode body, long waitMs, long timeoutMs) {
    return client.sendHeld(
        HttpMethod.POST,
        worker.address(),
        path,
        expectedInstance(worker),
        body.toString(),
        waitMs,
        timeoutMs);
  }

  private static Map<String, String> expectedInstance(WorkerRegistration worker) {
    return Map.of("x-expected-instance", worker.id());
  }

  private static CommandReply commandReply(PlatformHttpReply reply) {
    if (reply.isOk()) {
      return CommandReply.OK;
    }
    return switch (reply.status()) {
      case 409 ->
          PlatformJson.parse(reply.body())
              .map(body -> REPLIES_BY_REASON.get(body.path("reason").asText()))
              .orElse(CommandReply.MALFORMED);
      case 421 -> CommandReply.OTHER_INCARNATION;
      case 429, 503, PlatformHttpReply.NOT_SENT -> CommandReply.UNHEALTHY;
      case 400, 404 -> CommandReply.MALFORMED;
      default -> CommandReply.UNKNOWN;
    };
  }

  @Override
  public CompletableFuture<PollReply> poll(
      WorkerRegistration worker,
      Optional<Long> leaseUntilMs,
      long acknowledged,
      long waitMs,
      long fencingToken) {
    ObjectNode body =
        PlatformJson.object()
            .put("fencing-token", fencingToken)
            // The worker discards the ended runs up to this number.
            .put("last-seen", acknowledged);
    leaseUntilMs.ifPresent(deadlineMs -> body.put("deadline-ms", deadlineMs));
    if (waitMs > 0) {
      body.put("wait-ms", waitMs);
    }
    long timeoutMs = Math.max(waitMs + POLL_SLACK_MS, SHORTEST_POLL_TIMEOUT_MS);
    return send(worker, "/-/hold", body, waitMs, timeoutMs).thenApply(PlatformWorkers::pollReply);
  }

  private static PollReply pollReply(PlatformHttpReply reply) {
    Optional<JsonNode> body = PlatformJson.parse(reply.body());
    if (reply.status() == 409
        && body.map(node -> node.path("reason").asText()).equals(Optional.of("fence"))) {
      return new PollReply.Fenced();
    }
    if (!reply.isOk() || body.isEmpty() || !body.get().path("server-time-ms").isNumber()) {
      return new PollReply.Unavailable(reply.summary());
    }
    return snapshot(body.get())
        .<PollReply>map(PollReply.Answered::new)
        .orElseGet(() -> new PollReply.Unavailable("unreadable row: " + reply.summary()));
  }

  /**
   * Reads a worker's state; empty if a number or a row in it is unreadable. Without the row in
   * question, the state would tell that a run has vanished or that an end was handled.
   */
  private static Optional<WorkerSnapshot> snapshot(JsonNode body) {
    NumberReader numbers = new NumberReader();
    JsonNode runningRows = body.path("running");
    List<ActiveRun> running = new ArrayList<>();
    runningRows.forEach(row -> activeRun(row, numbers).ifPresent(running::add));
    JsonNode endedRows = body.path("finished");
    List<EndedRun> ended = new ArrayList<>();
    endedRows.forEach(row -> endedRun(row, numbers).ifPresent(ended::add));
    boolean allRowsRead = running.size() == runningRows.size() && ended.size() == endedRows.size();
    WorkerSnapshot snapshot =
        new WorkerSnapshot(
            numbers.time(body.path("server-time-ms")),
            numbers.wholeNumber(body.path("born")),
            running,
            ended,
            ended.size() < MAX_LISTED_ENDS);
    return allRowsRead && numbers.allValid() ? Optional.of(snapshot) : Optional.empty();
  }

  private static Optional<ActiveRun> activeRun(JsonNode row, NumberReader numbers) {
    return TaskKey.parse(row.path(0).asText())
        .map(
            task ->
                new ActiveRun(
                    task,
                    numbers.wholeNumber(row.path(1)),
                    row.path(2).asText(),
                    row.path(3).asInt(),
                    row.has(4) ? row.get(4).asLong() : -1));
  }

  private static Optional<EndedRun> endedRun(JsonNode row, NumberReader numbers) {
    RunOutcome outcome = OUTCOMES.get(row.path(3).asText());
    if (outcome == null) {
      return Optional.empty();
    }
    return TaskKey.parse(row.path(1).asText())
        .map(
            task ->
                new EndedRun(
                    numbers.wholeNumber(row.path(0)),
                    task,
                    numbers.wholeNumber(row.path(2)),
                    outcome,
                    row.path(4).asText()));
  }
}
