package org.plantainloom.state;

/** Order in which pending tasks are placed, and which tasks may preempt others. */
public enum Priority {
  /** Must start within seconds; may preempt normal batch tasks. */
  URGENT,
  /** A replica of a service; may preempt normal batch tasks. */
  SERVICE,
  /** Batch work that waits for free capacity. */
  NORMAL;

  /** Returns whether a task of this priority may evict a batch task of the other priority. */
  public boolean mayPreempt(Priority other) {
    return other == NORMAL && this != NORMAL;
  }
}
