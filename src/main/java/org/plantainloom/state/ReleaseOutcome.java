package org.plantainloom.state;

/** Why an incarnation of a task will never run again. */
public enum ReleaseOutcome {
  /** The task has done its work. */
  FINISHED,
  /** The task ended with an error. */
  FAILED,
  /** The worker confirmed that it stopped the task. */
  EVICTED,
  /** The worker can no longer be running the task. */
  LOST,
  /** The incarnation was never committed. */
  DECLINED;

  /** Returns whether the task's work is complete. */
  public boolean completesTask() {
    return this == FINISHED;
  }
}
