package org.plantainloom.coordination.dispatch;

import java.util.List;
import org.plantainloom.state.job.JobProgress;

/**
 * Progress of several jobs to be kept in one transaction.
 *
 * @param entries one entry a job
 */
public record ProgressBatch(List<Entry> entries) {
  /**
   * Progress of one job.
   *
   * @param jobId the job
   * @param progress what to keep
   * @param expectedRevision revision of what was kept last; 0 if nothing was
   * @param version the scheduler's own count of changes of this job
   */
  public record Entry(String jobId, JobProgress progress, long expectedRevision, long version) {}
}
