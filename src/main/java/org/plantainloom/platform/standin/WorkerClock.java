package org.plantainloom.platform.standin;

/** Steady clock of a simulated worker, in milliseconds. */
final class WorkerClock {
  private final boolean ownOrigin;
  private final double rate;
  private volatile long originMs;

  private WorkerClock(boolean ownOrigin, double rate) {
    this.ownOrigin = ownOrigin;
    this.rate = rate;
    restart();
  }

  /** Returns the machine's own clock, which goes on when the worker restarts. */
  static WorkerClock ofMachine() {
    return new WorkerClock(false, 1);
  }

  /**
   * Returns a clock that begins anew when the worker restarts.
   *
   * @param rate speed of the clock; 1 for that of the machine
   */
  static WorkerClock ofWorker(double rate) {
    return new WorkerClock(true, rate);
  }

  private static long machineMs() {
    return System.nanoTime() / 1_000_000;
  }

  void restart() {
    originMs = ownOrigin ? machineMs() : 0;
  }

  long nowMs() {
    return Math.round((machineMs() - originMs) * rate);
  }
}
