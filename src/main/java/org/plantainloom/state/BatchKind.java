package org.plantainloom.state;

/**
 * A kind of batch work: a team declares it once and creates jobs from it.
 *
 * @param name the kind's name
 * @param size resources of each task
 * @param runMs expected run time of a task in milliseconds; an initial estimate only
 * @param maxThrottlePercent largest share of their speed that its tasks may lose, 0 to 90
 */
public record BatchKind(String name, ResourceVector size, long runMs, int maxThrottlePercent) {
  /** Returns a job of this kind. */
  public BatchJobSpec job(String job, int tasks, boolean urgent) {
    return new BatchJobSpec(job, tasks, size, runMs, urgent, maxThrottlePercent);
  }
}
