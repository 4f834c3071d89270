package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finished jobs that are removed from the store.
 *
 * <p>Fault pattern: a removal fails or is not answered, and later, after the history of a watch was
 * lost, all keys are listed again. A job that is still listed, or whose key was listed before its
 * removal, is not a new job: all of its tasks would run again.
 */
final class RetiredJobs {
  /**
   * How long a removed job is remembered. A list that was read before the removal is applied within
   * the timeout of a call; callers repeat a submission within seconds, not after the job's end.
   */
  private static final long MEMORY_MS = 60_000;

  /** When each job was removed, oldest first; empty while the store has not confirmed it. */
  private final Map<String, Optional<Long>> removedMs = new LinkedHashMap<>();

  boolean contains(String jobId) {
    return removedMs.containsKey(jobId);
  }

  /** Adds a job that is to be removed. */
  void add(String jobId) {
    removedMs.put(jobId, Optional.empty());
  }

  /** Returns up to {@code limit} jobs whose removal the store has not confirmed. */
  List<String> unconfirmed(int limit) {
    List<String> ids = new ArrayList<>();
    removedMs.forEach(
        (id, removed) -> {
          if (removed.isEmpty() && ids.size() < limit) {
            ids.add(id);
          }
        });
    return ids;
  }

  /** Handles that the store has removed jobs. */
  void removed(List<String> jobIds, long nowMs) {
    jobIds.forEach(id -> removedMs.put(id, Optional.of(nowMs)));
    removedMs
        .values()
        .removeIf(removed -> removed.isPresent() && isForgotten(removed.get(), nowMs));
  }

  private static boolean isForgotten(long removed, long nowMs) {
    return removed < nowMs - MEMORY_MS;
  }
}
