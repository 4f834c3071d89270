package org.plantainloom.soak;

/** A violation of a rule, with the time at which it was certain. */
record Violation(long atMs, String text) {
  /** Read once: two readings of both clocks may differ by a millisecond. */
  private static final long WALL_CLOCK_OFFSET_MS = System.currentTimeMillis() - SoakRun.nowMs();

  /** Returns the wall clock time, which the logs of the nodes have, of a time of the run. */
  static long wallMs(long atMs) {
    return WALL_CLOCK_OFFSET_MS + atMs;
  }

  @Override
  public String toString() {
    return atMs + " " + wallMs(atMs) + " " + text;
  }
}
