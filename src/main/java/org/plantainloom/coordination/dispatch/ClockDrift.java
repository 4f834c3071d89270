package org.plantainloom.coordination.dispatch;

/**
 * Bounds of a duration that one clock measures and another one waits for. The monotonic clocks of
 * workers and of nodes may each run up to 2 % slow or fast.
 */
public final class ClockDrift {
  private static final double MAX_DRIFT = 0.02;
  private static final double MAX_RATE_RATIO = (1 + MAX_DRIFT) / (1 - MAX_DRIFT);

  private ClockDrift() {}

  /**
   * Returns how long a duration may last on this process's clock.
   *
   * @param durationMs the duration on the other clock, in milliseconds
   */
  public static long longestMs(long durationMs) {
    return (long) Math.ceil(durationMs * MAX_RATE_RATIO);
  }

  /**
   * Returns how long a duration lasts at least on this process's clock.
   *
   * @param durationMs the duration on the other clock, in milliseconds
   */
  public static long shortestMs(long durationMs) {
    return (long) Math.floor(durationMs / MAX_RATE_RATIO);
  }
}
