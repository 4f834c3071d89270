package org.plantainloom.state;

/**
 * An operator's request to run a job or to cancel it.
 *
 * @param spec the job
 * @param changeId id of the request that created it, for idempotent retries
 * @param cancelled whether its remaining tasks are to be cancelled
 */
public record JobIntent(BatchJobSpec spec, String changeId, boolean cancelled) {
  /** Returns a copy that is cancelled. */
  public JobIntent asCancelled() {
    return new JobIntent(spec, changeId, true);
  }
}
