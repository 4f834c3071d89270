package org.plantainloom.state;

/**
 * A kind of batch work that a team declares once and creates jobs of.
 *
 * @param name the kind's name
 * @param size resources of each task
 * @param runMs expected run time of a task in milliseconds; a first guess only
 * @param maxThrottlePercent how far its tasks may be slowed down, 0 to 90
 */
public record BatchKind(String name, ResourceVector size, long runMs, int maxThrottlePercent) {
  /** Returns a job of this kind. */
  public BatchJobSpec job(String job, int tasks, boolean urgent) {
    return new BatchJobSpec(job, tasks, size, runMs, urgent, maxThrottlePercent);
  }
}
