package org.plantainloom.state;

/** Where a task stands in the queue. */
public enum TaskPhase {
  /** Waits to be bound to a rack. */
  PENDING,
  /** Bound to a rack; only a release by that rack ends it. */
  BOUND,
  /** Failed too often; an operator has to look at it. */
  SET_ASIDE
}
