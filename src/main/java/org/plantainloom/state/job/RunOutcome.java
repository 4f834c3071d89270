package org.plantainloom.state.job;

/** How a run ended. */
public enum RunOutcome {
  DONE,
  FAILED,
  STOPPED,
  LEASE_LAPSED,
  GANG_BROKEN,
  GANG_INCOMPLETE,
  /** The worker went away or lost its state; nobody reported the end. */
  LOST;

  /** Returns whether a restart of the scheduler must know of this end. */
  public boolean mustPersist() {
    return this == DONE || this == FAILED;
  }
}
