package org.plantainloom.coordination.dispatch;

/**
 * A count of the time that has passed for this process, which is never less than the clocks tell.
 *
 * <p>The monotonic clock stands still while a VM is suspended, and the wall clock may be set back.
 * Of each step, the longer measurement therefore counts.
 *
 * <p>Not thread-safe. Times are in milliseconds.
 */
final class ElapsedTime {
  private boolean started;
  private long lastMs;
  private long lastWallMs;
  private long elapsedMs;

  /** Adds the time since the last call, and returns the count. */
  long advanceTo(long nowMs, long wallMs) {
    if (started) {
      elapsedMs += Math.max(0, Math.max(nowMs - lastMs, wallMs - lastWallMs));
    }
    started = true;
    lastMs = nowMs;
    lastWallMs = wallMs;
    return elapsedMs;
  }

  /** Returns the count as of the last step. */
  long ms() {
    return elapsedMs;
  }
}
