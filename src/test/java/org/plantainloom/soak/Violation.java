package org.plantainloom.soak;

/** A violation of a rule, with the time at which it was certain. */
record Violation(long atMs, String text) {

  /** Returns the wall clock time, which the logs of the nodes have, of a time of the run. */
  static long wallMs(long atMs) {
    return System.currentTimeMillis() - SoakRun.nowMs() + atMs;
  }

  @Override
  public String toString() {
    return atMs + " " + wallMs(atMs) + " " + text;
  }
}
