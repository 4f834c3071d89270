package org.plantainloom.coordination.dispatch;

import java.util.List;
import org.plantainloom.state.job.JobProgress;

/**
 * Progress of several jobs to be persisted in one transaction.
 *
 * @param entries one entry per job
 */
public record ProgressBatch(List<Entry> entries) {
  /**
   * Progress of one job.
   *
   * @param jobId the job
   * @param progress the progress to write
   * @param expectedRevision revision of the last write; 0 if there was none
   * @param version the dispatcher's count of changes to this job
   */
  public record Entry(String jobId, JobProgress progress, long expectedRevision, long version) {}
}
