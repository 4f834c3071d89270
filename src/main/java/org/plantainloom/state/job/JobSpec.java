package org.plantainloom.state.job;

import java.util.List;

/**
 * An accepted job, as stored.
 *
 * @param id the id that the caller chose; 16 hexadecimal digits
 * @param queue name of the queue that accepted it
 * @param payload text passed unchanged to each task
 * @param phases the phases
 * @param acceptedMs when it was accepted, in milliseconds since the epoch
 * @param startAtMs when the first occurrence is due, in milliseconds since the epoch; 0 for
 *     immediately
 * @param periodMs time between occurrences in milliseconds
 * @param repeatCount number of occurrences; 0 for a job that is not scheduled by time
 */
public record JobSpec(
    String id,
    String queue,
    String payload,
    List<PhaseSpec> phases,
    long acceptedMs,
    long startAtMs,
    long periodMs,
    int repeatCount) {

  /** Returns how many times the phases run. */
  public int occurrences() {
    return Math.max(1, repeatCount);
  }

  /** Returns whether a key is that of one of the job's tasks. */
  public boolean hasTask(TaskKey key) {
    return key.jobId().equals(id)
        && key.occurrence() >= 0
        && key.occurrence() < occurrences()
        && key.phase() >= 0
        && key.phase() < phases.size()
        && key.index() >= 0
        && key.index() < phases.get(key.phase()).count();
  }

  /** Returns when an occurrence is due, in milliseconds since the epoch; 0 for immediately. */
  public long dueMs(int occurrence) {
    return repeatCount == 0 ? 0 : startAtMs + occurrence * periodMs;
  }
}
