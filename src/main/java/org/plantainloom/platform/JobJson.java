package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.JobLimits;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;

/** JSON of the jobs that callers submit and of the replies to their queries. */
final class JobJson {
  private JobJson() {}

  /** Parses the body of a submission; empty if it is not a valid job. */
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
    NumberReader numbers = new NumberReader();
    JobSpec spec =
        new JobSpec(
            id,
            queue,
            body.path("spec").asText(),
            phases,
            nowMs,
            numbers.time(body.path("start-at-ms")),
            numbers.time(body.path("period-ms")),
            numbers.wholeInt(body.path("repeat-count")));
    return numbers.allValid() && JobLimits.areMetBy(spec) ? Optional.of(spec) : Optional.empty();
  }

  /** Parses a phase; empty if it is invalid or depends on itself or on a later phase. */
  private static Optional<PhaseSpec> phase(JsonNode node, int index) {
    List<Integer> after = new ArrayList<>();
    for (JsonNode predecessor : node.path("after")) {
      if (!predecessor.isInt() || predecessor.asInt() < 0 || predecessor.asInt() >= index) {
        return Optional.empty();
      }
      after.add(predecessor.asInt());
    }
    NumberReader numbers = new NumberReader();
    long count = numbers.wholeNumber(node.path("count"));
    long estimateMs = numbers.time(node.path("estimate-ms"));
    int maxPerWorker = numbers.wholeInt(node.path("anti-affinity"));
    long tailObjectiveMs = numbers.time(node.path("target-ms"));
    int maxUnavailable =
        node.has("miss-allowed") ? numbers.wholeInt(node.path("miss-allowed")) : -1;
    Optional<ResourceVector> need = PlatformJson.resources(node);
    if (!node.isObject()
        || !numbers.allValid()
        || count < 1
        || count > JobLimits.MAX_TASKS
        || !JobLimits.isDuration(estimateMs)
        || need.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new PhaseSpec(
            (int) count,
            need.get(),
            estimateMs,
            after,
            node.path("checkpointing").asBoolean(),
            node.path("gang").asBoolean(),
            node.path("same-rack").asBoolean(),
            node.path("constraints").asText(), // a single label, despite the plural
            node.path("affinity").asText(), // the rack that stores the task's data
            maxPerWorker,
            node.path("speculative").asBoolean(),
            node.path("long-running").asBoolean(),
            node.path("image").asText(),
            tailObjectiveMs,
            node.path("utilization").asBoolean(), // whether the tasks use only idle processor time
            maxUnavailable));
  }

  static String status(JobStatus status) {
    String state =
        switch (status) {
          case QUEUED -> "queued";
          case ACTIVE -> "active";
          case COMPLETED -> "completed";
          case FAILED -> "failed";
          case CANCELLED -> "cancelled";
        };
    return PlatformJson.object().put("state", state).toString();
  }

  static String pending(int count) {
    return PlatformJson.object().put("pending", count).toString();
  }
}
