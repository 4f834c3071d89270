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
import org.plantainloom.state.job.EndKind;
import org.plantainloom.state.job.LookReply;
import org.plantainloom.state.job.OrderReply;
import org.plantainloom.state.job.RunEnd;
import org.plantainloom.state.job.RunningTask;
import org.plantainloom.state.job.StartOrder;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.TaskWorkers;
import org.plantainloom.state.job.WorkerEntry;
import org.plantainloom.state.job.WorkerLook;

/** HTTP client of the platform's workers. */
public final class PlatformWorkers implements TaskWorkers {
  /** Workers answer orders without delay; the longest round trip takes 16 ms. */
  private static final long ORDER_TIMEOUT_MS = 600;

  /** What the way and a busy worker may add to a look that waits. */
  private static final long LOOK_SLACK_MS = 700;

  private static final Map<String, EndKind> END_KINDS =
      Map.of(
          "done", EndKind.DONE,
          "failed", EndKind.FAILED,
          "stopped", EndKind.STOPPED,
          "lapsed", EndKind.LEASE_LAPSED,
          "broken", EndKind.GANG_BROKEN,
          "alone", EndKind.GANG_INCOMPLETE);

  private static final Map<String, OrderReply> REPLIES_BY_REASON =
      Map.of(
          "fence", OrderReply.FENCED,
          "old", OrderReply.RUN_SUPERSEDED,
          "late", OrderReply.TOO_LATE,
          "room", OrderReply.NO_ROOM,
          "ticket", OrderReply.NO_PERMIT);

  private final PlatformHttpClient client;

  /** Creates a client. */
  public PlatformWorkers(PlatformHttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<OrderReply> start(
      WorkerEntry worker, StartOrder order, long leaseUntilMs, long fencingToken) {
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
  public CompletableFuture<OrderReply> stop(
      WorkerEntry worker, TaskKey task, long run, long fencingToken) {
    return order(worker, "/-/run-stop", run(task, run, fencingToken));
  }

  @Override
  public CompletableFuture<OrderReply> pace(
      WorkerEntry worker, TaskKey task, long run, int percent, long fencingToken) {
    // Despite its name, the field is the share of its processor time that the run may use.
    return order(worker, "/-/pace", run(task, run, fencingToken).put("progress-percent", percent));
  }

  private static ObjectNode run(TaskKey task, long run, long fencingToken) {
    return PlatformJson.object()
        .put("task-id", task.toString())
        .put("run-id", run)
        .put("fencing-token", fencingToken);
  }

  private CompletableFuture<OrderReply> order(WorkerEntry worker, String path, ObjectNode body) {
    return client
        .send(headers(worker, path), body.toString(), ORDER_TIMEOUT_MS)
        .thenApply(PlatformWorkers::orderReply);
  }

  private static RequestHeadersBuilder headers(WorkerEntry worker, String path) {
    return RequestHeaders.builder(HttpMethod.POST, PlatformHttpClient.url(worker.address(), path))
        .add("x-expected-instance", worker.id());
  }

  private static OrderReply orderReply(PlatformHttpReply reply) {
    if (reply.isOk()) {
      return OrderReply.OK;
    }
    return switch (reply.status()) {
      case 409 ->
          PlatformJson.parse(reply.body())
              .map(body -> REPLIES_BY_REASON.get(body.path("reason").asText()))
              .orElse(OrderReply.MALFORMED);
      case 421 -> OrderReply.OTHER_INCARNATION;
      case 429, 503, PlatformHttpReply.NOT_SENT -> OrderReply.UNHEALTHY;
      case 400, 404 -> OrderReply.MALFORMED;
      default -> OrderReply.UNKNOWN;
    };
  }

  @Override
  public CompletableFuture<LookReply> look(
      WorkerEntry worker,
      Optional<Long> leaseUntilMs,
      long acknowledged,
      long waitMs,
      long fencingToken) {
    ObjectNode body =
        PlatformJson.object()
            .put("fencing-token", fencingToken)
            // The worker discards the ends up to this number.
            .put("last-seen", acknowledged);
    leaseUntilMs.ifPresent(deadlineMs -> body.put("deadline-ms", deadlineMs));
    if (waitMs > 0) {
      body.put("wait-ms", waitMs);
    }
    return client
        .send(headers(worker, "/-/hold"), body.toString(), waitMs + LOOK_SLACK_MS)
        .thenApply(PlatformWorkers::lookReply);
  }

  private static LookReply lookReply(PlatformHttpReply reply) {
    Optional<JsonNode> body = PlatformJson.parse(reply.body());
    if (reply.status() == 409
        && body.map(node -> node.path("reason").asText()).equals(Optional.of("fence"))) {
      return new LookReply.Fenced();
    }
    if (!reply.isOk() || body.isEmpty() || !body.get().path("server-time-ms").isNumber()) {
      return new LookReply.Missing(reply.summary());
    }
    List<RunningTask> running = new ArrayList<>();
    body.get().path("running").forEach(row -> running(row).ifPresent(running::add));
    List<RunEnd> ended = new ArrayList<>();
    body.get().path("finished").forEach(row -> end(row).ifPresent(ended::add));
    return new LookReply.Seen(
        new WorkerLook(
            body.get().path("server-time-ms").asLong(),
            body.get().path("born").asLong(),
            running,
            ended));
  }

  private static Optional<RunningTask> running(JsonNode row) {
    return TaskKey.parse(row.path(0).asText())
        .map(
            task ->
                new RunningTask(
                    task,
                    row.path(1).asLong(),
                    row.path(2).asText(),
                    row.path(3).asInt(),
                    row.has(4) ? row.get(4).asLong() : -1));
  }

  private static Optional<RunEnd> end(JsonNode row) {
    EndKind kind = END_KINDS.get(row.path(3).asText());
    if (kind == null) {
      return Optional.empty();
    }
    return TaskKey.parse(row.path(1).asText())
        .map(
            task ->
                new RunEnd(
                    row.path(0).asLong(), task, row.path(2).asLong(), kind, row.path(4).asText()));
  }
}
