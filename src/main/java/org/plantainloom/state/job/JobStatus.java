package org.plantainloom.state.job;

/** Status of a job as shown to callers. */
public enum JobStatus {
  QUEUED,
  ACTIVE,
  COMPLETED,
  FAILED,
  CANCELLED;

  /** Returns whether no task of the job will run any more. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
