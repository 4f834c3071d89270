package org.plantainloom.state.job;

/** What callers see of a job. */
public enum JobStatus {
  QUEUED,
  ACTIVE,
  COMPLETED,
  FAILED,
  CANCELLED;

  /** Returns whether nothing of the job will run any more. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
