package org.plantainloom.coordination.rack;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.WorkerReport;

/**
 * State of one worker as its rack's owner observes it: the last report, how long it has been silent
 * or missing from the VM list, and since when it rejects commands of former owners.
 */
final class ObservedWorker {
  private static final long NEVER = -1;

  private final Map<TaskRef, Long> endedSinceMs = new HashMap<>();
  private Optional<WorkerReport> report = Optional.empty();
  private long lastReportAtMs;
  private long missingSinceMs = NEVER;
  private long fencedAtMs = NEVER;

  ObservedWorker(long nowMs) {
    this.lastReportAtMs = nowMs;
  }

  void recordReport(WorkerReport newReport, long ownEpoch, long nowMs) {
    report = Optional.of(newReport);
    lastReportAtMs = nowMs;
    if (newReport.accepted() && newReport.fencingEpoch() == ownEpoch && fencedAtMs == NEVER) {
      fencedAtMs = nowMs;
    }
    endedSinceMs.keySet().removeIf(ref -> newReport.task(ref).isEmpty());
    for (TaskReport task : newReport.tasks()) {
      if (task.state().outcome().isPresent()) {
        endedSinceMs.putIfAbsent(task.ref(), nowMs);
      }
    }
  }

  void recordListing(boolean present, long nowMs) {
    if (present) {
      missingSinceMs = NEVER;
    } else if (missingSinceMs == NEVER) {
      missingSinceMs = nowMs;
    }
  }

  Optional<TaskReport> taskReport(Commitment commitment) {
    return report
        .filter(r -> r.generation() == commitment.generation())
        .flatMap(r -> r.task(commitment.ref()));
  }

  List<TaskReport> taskReports() {
    return report.map(WorkerReport::tasks).orElse(List.of());
  }

  /** Returns the generation of the VM that sent the last report; 0 without one. */
  long generation() {
    return report.map(WorkerReport::generation).orElse(0L);
  }

  boolean isSilent(long nowMs, long limitMs) {
    return nowMs - lastReportAtMs > limitMs;
  }

  boolean isMissing(long nowMs, long limitMs) {
    return missingSinceMs != NEVER && nowMs - missingSinceMs > limitMs;
  }

  /**
   * Returns when the worker was first known to reject commands of all former owners of the rack.
   */
  OptionalLong fencedAtMs() {
    return fencedAtMs == NEVER ? OptionalLong.empty() : OptionalLong.of(fencedAtMs);
  }

  boolean hasEndedForLongerThan(TaskRef ref, long nowMs, long limitMs) {
    Long endedAtMs = endedSinceMs.get(ref);
    return endedAtMs != null && nowMs - endedAtMs > limitMs;
  }
}
