package org.plantainloom.state;

/** Order in which pending tasks are placed, and who may displace whom. */
public enum Priority {
  /** Must start within seconds; may preempt normal batch tasks. */
  URGENT,
  /** A replica of a service; may preempt normal batch tasks. */
  SERVICE,
  /** Batch work that waits for room. */
  NORMAL;

  /** Returns whether a task of this priority may evict a batch task of the other. */
  public boolean mayPreempt(Priority other) {
    return other == NORMAL && this != NORMAL;
  }
}
