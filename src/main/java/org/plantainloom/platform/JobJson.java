package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;

/** Jobs as callers write and read them. */
final class JobJson {
  /** Most tasks of a phase that are believed; the largest known job has 36. */
  private static final int MAX_TASKS = 10_000;

  private JobJson() {}

  /** Returns the job that a body describes, or empty if it describes none. */
  static Optional<JobSpec> job(String id, String queue, String text, long nowMs) {
    Optional<JsonNode> parsed = PlatformJson.parse(text);
    if (parsed.isEmpty()) {
      return Optional.empty();
    }
    JsonNode body = parsed.get();
    List<PhaseSpec> phases = new ArrayList<>();
    for (JsonNode node : body.path("phases")) {
      Optional<PhaseSpec> phase = phase(node, phases.size());
      if (phase.isEmpty()) {
        return Optional.empty();
      }
      phases.add(phase.get());
    }
    if (phases.isEmpty() || !body.path("spec").isTextual()) {
      return Optional.empty();
    }
    return Optional.of(
        new JobSpec(
            id,
            queue,
            body.path("spec").asText(),
            phases,
            nowMs,
            body.path("start-at-ms").asLong(),
            body.path("period-ms").asLong(),
            body.path("repeat-count").asInt()));
  }

  private static Optional<PhaseSpec> phase(JsonNode node, int index) {
    List<Integer> after = new ArrayList<>();
    for (JsonNode before : node.path("after")) {
      if (!before.isInt() || before.asInt() < 0 || before.asInt() >= index) {
        return Optional.empty();
      }
      after.add(before.asInt());
    }
    int count = node.path("count").asInt();
    if (!node.isObject() || count < 1 || count > MAX_TASKS) {
      return Optional.empty();
    }
    return Optional.of(
        new PhaseSpec(
            count,
            new ResourceVector(
                node.path("cpu").asInt(), node.path("mem-mb").asInt(), node.path("gpu").asInt()),
            node.path("estimate-ms").asLong(),
            after,
            node.path("checkpointing").asBoolean(),
            node.path("gang").asBoolean(),
            node.path("same-rack").asBoolean(),
            node.path("constraints").asText(), // one label, in spite of the plural
            node.path("affinity").asText(), // the rack that holds the data
            node.path("anti-affinity").asInt(), // most tasks of the phase on one worker
            node.path("speculative").asBoolean(),
            node.path("long-running").asBoolean(),
            node.path("image").asText(),
            node.path("target-ms").asLong(), // tail latency objective of the task's own users
            node.path("utilization").asBoolean(), // a flag: runs on idle processor time
            node.path("miss-allowed").asInt(-1)));
  }

  static String status(JobStatus status) {
    String word =
        switch (status) {
          case QUEUED -> "queued";
          case ACTIVE -> "active";
          case COMPLETED -> "completed";
          case FAILED -> "failed";
          case CANCELLED -> "cancelled";
        };
    return PlatformJson.object().put("state", word).toString();
  }

  static String pending(int count) {
    return PlatformJson.object().put("pending", count).toString();
  }
}
