package org.plantainloom.state;

/** Why an incarnation of a task will never run again. */
public enum ReleaseOutcome {
  /** The task finished its work. */
  FINISHED,
  /** The task ended with an error. */
  FAILED,
  /** The worker confirmed that it stopped the task. */
  EVICTED,
  /** The worker cannot be running the task any more. */
  LOST,
  /** The rack's owner did not accept the binding; no capacity was committed. */
  DECLINED;

  /** Returns whether the task's work is complete. */
  public boolean completesTask() {
    return this == FINISHED;
  }
}
