package org.plantainloom.coordination.dispatch;

import java.util.OptionalLong;

/**
 * The latest time that a worker's clock may show, from its answers to polls.
 *
 * <p>An answer tells the clock at some moment after the poll was sent; a long poll therefore leaves
 * the moment open by as long as the worker has waited. An older answer to a short poll may tell
 * more than a newer one to a long poll.
 */
final class LatestWorkerClock {
  /** Age from which the drift makes a reading as vague as a slow answer would. */
  private static final long REFRESH_MS = 3_000;

  private boolean known;
  private long clockMs;
  private long sentMs;
  private long lastRefreshMs;

  /**
   * Handles an answer.
   *
   * @param newClockMs the worker's clock in the answer
   * @param newSentMs when the poll was sent, in {@link ElapsedTime}
   * @param nowMs the present {@link ElapsedTime}
   */
  void answered(long newClockMs, long newSentMs, long nowMs) {
    boolean tellsMore =
        !known || latestMs(newClockMs, newSentMs, nowMs) < latestMs(clockMs, sentMs, nowMs);
    // Time is missing here if the clock is later than it can be.
    if (tellsMore || newClockMs > latestMs(clockMs, sentMs, nowMs)) {
      known = true;
      clockMs = newClockMs;
      sentMs = newSentMs;
    }
  }

  /** Returns the latest time that the clock may show now; empty if it was never read. */
  OptionalLong latestMs(long nowMs) {
    return known ? OptionalLong.of(latestMs(clockMs, sentMs, nowMs)) : OptionalLong.empty();
  }

  /** Returns how long ago the poll was sent whose answer tells the most. */
  long ageMs(long nowMs) {
    return nowMs - sentMs;
  }

  /**
   * Returns whether a poll should not wait, as its answer may tell more. The next such poll is due
   * some time later, also if the answer takes so long that it tells nothing.
   */
  boolean beginRefreshIfDue(long nowMs) {
    boolean due = !known || (nowMs - sentMs > REFRESH_MS && nowMs - lastRefreshMs > REFRESH_MS);
    if (due) {
      lastRefreshMs = nowMs;
    }
    return due;
  }

  private static long latestMs(long clockMs, long sentMs, long nowMs) {
    return clockMs + ClockDrift.longestMs(nowMs - sentMs);
  }
}
