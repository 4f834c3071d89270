package org.plantainloom.coordination.dispatch;

/**
 * Receives a log line for each decision about a job and each change in the scheduler's view of a
 * worker.
 */
@FunctionalInterface
public interface DecisionLog {
  /**
   * Logs a decision or an observation.
   *
   * @param event name of the log event
   * @param subject id of the job, task or worker
   * @param detail inputs and outcome as {@code name=value} pairs
   */
  void logDecision(String event, Object subject, String detail);
}
