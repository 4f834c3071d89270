package org.plantainloom.state.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Progress of a job, as stored.
 *
 * @param status the status shown to callers
 * @param done finished tasks: maps {@code occurrence.phase} to a bit set in hexadecimal digits, and
 *     {@code first-last}, for occurrences that are over, to an empty text
 * @param failures numbers of the failed runs by task; they tell a repeated report from a new one.
 *     Releases before also stored those of tasks that last
 * @param checkpoints last checkpoint by task, for tasks that are not running
 * @param begun tasks that last and have run, in the form of {@code done}; empty if there is none,
 *     and in records of releases that did not write it
 */
public record JobProgress(
    JobStatus status,
    Map<String, String> done,
    Map<String, List<Long>> failures,
    Map<String, String> checkpoints,
    Optional<Map<String, String>> begun) {

  /** Progress of a job that has no ended runs. */
  public static final JobProgress NONE =
      new JobProgress(JobStatus.QUEUED, Map.of(), Map.of(), Map.of(), Optional.empty());
}
