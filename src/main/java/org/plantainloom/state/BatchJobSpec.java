package org.plantainloom.state;

/**
 * A batch job as a team declares it.
 *
 * @param name the job's name
 * @param tasks number of tasks
 * @param size resources of each task
 * @param runMs declared run time of a task in milliseconds
 * @param urgent whether its tasks must start within seconds
 * @param maxThrottlePercent how far its tasks may be slowed down, 0 to 90
 */
public record BatchJobSpec(
    String name,
    int tasks,
    ResourceVector size,
    long runMs,
    boolean urgent,
    int maxThrottlePercent) {
  /** Returns the priority of the job's tasks. */
  public Priority priority() {
    return urgent ? Priority.URGENT : Priority.NORMAL;
  }
}
