package org.plantainloom.coordination.dispatch;

/**
 * Tells as of when this process knows all jobs and cancellations that the store has acknowledged.
 *
 * <p>Not thread-safe. Times are in milliseconds.
 */
final class JobsFreshness {
  private boolean known;
  private long asOfMs;
  private long asOfWallMs;

  /**
   * Handles that all changes which the store acknowledged before a time are known.
   *
   * @param sentMs when the call was sent whose reply completes them, on the monotonic clock
   * @param sentWallMs the same on the wall clock
   */
  void confirm(long sentMs, long sentWallMs) {
    if (!known || sentMs > asOfMs) {
      known = true;
      asOfMs = sentMs;
      asOfWallMs = sentWallMs;
    }
  }

  /**
   * Returns the age of what is known. The monotonic clock stands still while a VM is suspended, and
   * the wall clock may be set back, so the longer one counts.
   */
  long ageMs(long nowMs, long wallMs) {
    return known ? Math.max(nowMs - asOfMs, wallMs - asOfWallMs) : Long.MAX_VALUE;
  }
}
