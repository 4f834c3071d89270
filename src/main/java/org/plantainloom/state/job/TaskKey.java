package org.plantainloom.state.job;

import java.util.Optional;

/**
 * Identifies a task of a job.
 *
 * @param jobId the job
 * @param occurrence the repetition of a timed job, from 0; 0 for other jobs
 * @param phase index of the phase, from 0
 * @param index index of the task within the phase, from 0
 */
public record TaskKey(String jobId, int occurrence, int phase, int index) {

  /** Parses the form {@code job.occurrence.phase.index}; returns empty if the text differs. */
  public static Optional<TaskKey> parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != 4) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new TaskKey(
              parts[0],
              Integer.parseInt(parts[1]),
              Integer.parseInt(parts[2]),
              Integer.parseInt(parts[3])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return jobId + "." + occurrence + "." + phase + "." + index;
  }
}
