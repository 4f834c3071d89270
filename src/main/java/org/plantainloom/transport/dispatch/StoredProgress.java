package org.plantainloom.transport.dispatch;

import java.util.BitSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.DoneRange;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.TaskKey;

/** Reads the progress of jobs, whose records another writer may have damaged. */
final class StoredProgress {
  private StoredProgress() {}

  /**
   * Returns the progress of a job.
   *
   * @throws MalformedMessageException if the text is not that of the progress of this job. What may
   *     be taken from the rest is not used: a task that is missing there would run again.
   */
  static JobProgress parse(JobSpec spec, String text) {
    JobProgress progress = Json.read(text, JobProgress.class);
    if (progress.status() == null
        || hasGaps(progress.done())
        || hasGaps(progress.failures())
        || hasGaps(progress.checkpoints())
        || progress.begun().filter(StoredProgress::hasGaps).isPresent()) {
      throw damage("a missing value");
    }
    if (progress.failures().values().stream().anyMatch(runs -> runs.contains(null))) {
      throw damage("a missing number of a failed run");
    }
    progress.done().forEach((key, bits) -> requireDone(spec, key, bits));
    progress.begun().ifPresent(b -> b.forEach((phase, bits) -> requireTasks(spec, phase, bits)));
    requireTasks(spec, progress.failures().keySet());
    requireTasks(spec, progress.checkpoints().keySet());
    return progress;
  }

  private static boolean hasGaps(Map<String, ?> map) {
    return map == null || map.values().stream().anyMatch(value -> value == null);
  }

  /** Checks a range of occurrences, which has no bits, or a bit set of tasks. */
  private static void requireDone(JobSpec spec, String key, String bits) {
    Optional<DoneRange> range = DoneRange.parse(key);
    if (range.isEmpty()) {
      requireTasks(spec, key, bits);
    } else if (!bits.isEmpty() || range.get().last() >= spec.occurrences()) {
      throw damage("occurrences that the job does not have");
    }
  }

  /** Checks a bit set of tasks, whose key is {@code occurrence.phase}. */
  private static void requireTasks(JobSpec spec, String phase, String bits) {
    try {
      int highest = BitSet.valueOf(HexFormat.of().parseHex(bits)).length() - 1;
      requireTask(spec, spec.id() + "." + phase + "." + Math.max(0, highest));
    } catch (IllegalArgumentException e) {
      throw MalformedMessageException.of(JobProgress.class, "bits that are not hexadecimal", e);
    }
  }

  private static void requireTasks(JobSpec spec, Set<String> keys) {
    keys.forEach(key -> requireTask(spec, key));
  }

  private static void requireTask(JobSpec spec, String text) {
    // Compared as text, too: the dispatcher looks keys up in the form that it writes.
    Optional<TaskKey> key = TaskKey.parse(text).filter(parsed -> parsed.toString().equals(text));
    if (key.isEmpty() || !spec.hasTask(key.get())) {
      throw damage("a task that the job does not have");
    }
  }

  private static MalformedMessageException damage(String found) {
    return MalformedMessageException.of(JobProgress.class, found, null);
  }
}
