package org.plantainloom.coordination.dispatch;

/**
 * Receives one line for each decision that touches a job or changes what the scheduler believes.
 */
@FunctionalInterface
public interface DecisionLog {
  /**
   * Takes note of a decision.
   *
   * @param event what was decided
   * @param subject id of the job, task or worker
   * @param detail the inputs and the outcome as {@code name=value} pairs
   */
  void logDecision(String event, Object subject, String detail);
}
