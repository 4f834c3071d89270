package org.plantainloom.state;

/**
 * An operator's wish that a job runs, or that it ends.
 *
 * @param spec the job
 * @param changeId identity of the request that created it, for idempotent retries
 * @param cancelled whether its remaining tasks are to be given up
 */
public record JobIntent(BatchJobSpec spec, String changeId, boolean cancelled) {
  /** Returns a copy that is cancelled. */
  public JobIntent asCancelled() {
    return new JobIntent(spec, changeId, true);
  }
}
