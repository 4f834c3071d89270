package org.plantainloom.state;

/** State of a task in the planner's queue. */
public enum TaskPhase {
  /** Waiting to be bound to a rack. */
  PENDING,
  /** Bound to a rack; only a release by the rack's owner ends this state. */
  BOUND,
  /** Failed on too many workers and no longer placed; an operator has to investigate. */
  SET_ASIDE
}
