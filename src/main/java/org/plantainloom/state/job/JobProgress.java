package org.plantainloom.state.job;

import java.util.List;
import java.util.Map;

/**
 * What has become of a job, as it is kept in the store.
 *
 * @param status what callers see
 * @param done finished tasks: {@code occurrence.phase} to a bit set in hexadecimal digits
 * @param failures runs that failed, by task; the run numbers tell a repeated report from a new one
 * @param checkpoints last checkpoint of tasks that are not running
 */
public record JobProgress(
    JobStatus status,
    Map<String, String> done,
    Map<String, List<Long>> failures,
    Map<String, String> checkpoints) {

  /** Progress of a job of which nothing has ended. */
  public static final JobProgress NONE =
      new JobProgress(JobStatus.QUEUED, Map.of(), Map.of(), Map.of());
}
