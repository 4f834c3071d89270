package org.plantainloom.state.job;

/** How a run ended. */
public enum RunOutcome {
  DONE,
  FAILED,
  STOPPED,
  LEASE_LAPSED,
  GANG_BROKEN,
  GANG_INCOMPLETE,
  /** The worker disappeared or lost its state; the end was not reported. */
  LOST;

  /** Returns whether this outcome must survive a restart of the scheduler. */
  public boolean mustPersist() {
    return this == DONE || this == FAILED;
  }
}
