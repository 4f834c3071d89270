package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
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

/** The platform's workers. */
public final class PlatformWorkers implements TaskWorkers {
  /** Orders are answered at once; the longest way there and back is 16 ms. */
  private static final long ORDER_TIMEOUT_MS = 600;

  /** What the way and a busy worker may add to a look that waits. */
  private static final long LOOK_SLACK_MS = 700;

  private static final Map<String, RunOutcome> END_KINDS =
      Map.of(
          "done", RunOutcome.DONE,
          "failed", RunOutcome.FAILED,
          "stopped", RunOutcome.STOPPED,
          "lapsed", RunOutcome.LEASE_LAPSED,
          "broken", RunOutcome.GANG_BROKEN,
          "alone", RunOutcome.GANG_INCOMPLETE);

  private static final Map<String, CommandReply> REASONS =
      Map.of(
          "fence", CommandReply.FENCED,
          "old", CommandReply.RUN_SUPERSEDED,
          "late", CommandReply.TOO_LATE,
          "room", CommandReply.NO_ROOM,
          "ticket", CommandReply.NO_PERMIT);

  private final PlatformHttpClient client;

  /** Creates the port. */
  public PlatformWorkers(PlatformHttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<CommandReply> start(
      WorkerRegistration worker, StartTaskCommand order, long leaseUntilMs, long fencingToken) {
    ObjectNode body = run(order.task(), order.run(), fencingToken);
    body.put("spec", order.payload()).put("deadline-ms", leaseUntilMs);
    if (!order.checkpoint().isEmpty()) {
      body.put("checkpoint", order.checkpoint());
    }
    if (!order.permit().isEmpty()) {
      body.put("ticket", order.permit());
    }
    return order(worker, "/-/run-start", body);
  }

  @Override
  public CompletableFuture<CommandReply> stop(
      WorkerRegistration worker, TaskKey task, long run, long fencingToken) {
    return order(worker, "/-/run-stop", run(task, run, fencingToken));
  }

  @Override
  public CompletableFuture<CommandReply> limitCpu(
      WorkerRegistration worker, TaskKey task, long run, int percent, long fencingToken) {
    // The wire's name says progress; it is the share of its processor time that the run may use.
    return order(worker, "/-/pace", run(task, run, fencingToken).put("progress-percent", percent));
  }

  private static ObjectNode run(TaskKey task, long run, long fencingToken) {
    return PlatformJson.object()
        .put("task-id", task.toString())
        .put("run-id", run)
        .put("fencing-token", fencingToken);
  }

  private CompletableFuture<CommandReply> order(
      WorkerRegistration worker, String path, ObjectNode body) {
    return client
        .send(headers(worker, path), body.toString(), ORDER_TIMEOUT_MS)
        .thenApply(PlatformWorkers::orderReply);
  }

  private static RequestHeadersBuilder headers(WorkerRegistration worker, String path) {
    return RequestHeaders.builder(HttpMethod.POST, PlatformHttpClient.url(worker.address(), path))
        .add("x-expected-instance", worker.id());
  }

  private static CommandReply orderReply(PlatformHttpReply reply) {
    if (reply.isOk()) {
      return CommandReply.OK;
    }
    return switch (reply.status()) {
      case 409 ->
          PlatformJson.parse(reply.body())
              .map(body -> REASONS.get(body.path("reason").asText()))
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
            // Ends up to this number are forgotten by the worker.
            .put("last-seen", acknowledged);
    leaseUntilMs.ifPresent(until -> body.put("deadline-ms", until));
    if (waitMs > 0) {
      body.put("wait-ms", waitMs);
    }
    return client
        .send(headers(worker, "/-/hold"), body.toString(), waitMs + LOOK_SLACK_MS)
        .thenApply(PlatformWorkers::lookReply);
  }

  private static PollReply lookReply(PlatformHttpReply reply) {
    Optional<JsonNode> body = PlatformJson.parse(reply.body());
    if (reply.status() == 409
        && body.map(node -> node.path("reason").asText()).equals(Optional.of("fence"))) {
      return new PollReply.Fenced();
    }
    if (!reply.isOk() || body.isEmpty() || !body.get().path("server-time-ms").isNumber()) {
      return new PollReply.Unavailable(reply.summary());
    }
    List<ActiveRun> running = new ArrayList<>();
    body.get().path("running").forEach(row -> running(row).ifPresent(running::add));
    List<EndedRun> ended = new ArrayList<>();
    body.get().path("finished").forEach(row -> end(row).ifPresent(ended::add));
    return new PollReply.Answered(
        new WorkerSnapshot(
            body.get().path("server-time-ms").asLong(),
            body.get().path("born").asLong(),
            running,
            ended));
  }

  private static Optional<ActiveRun> running(JsonNode row) {
    return TaskKey.parse(row.path(0).asText())
        .map(
            task ->
                new ActiveRun(
                    task,
                    row.path(1).asLong(),
                    row.path(2).asText(),
                    row.path(3).asInt(),
                    row.has(4) ? row.get(4).asLong() : -1));
  }

  private static Optional<EndedRun> end(JsonNode row) {
    RunOutcome kind = END_KINDS.get(row.path(3).asText());
    if (kind == null) {
      return Optional.empty();
    }
    return TaskKey.parse(row.path(1).asText())
        .map(
            task ->
                new EndedRun(
                    row.path(0).asLong(), task, row.path(2).asLong(), kind, row.path(4).asText()));
  }
}
