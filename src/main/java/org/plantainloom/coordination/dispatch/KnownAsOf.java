package org.plantainloom.coordination.dispatch;

/**
 * The moment as of which a process knows all that the store has acknowledged on some matter.
 *
 * @param ms when the call was sent whose reply has told the last of it, on the monotonic clock
 * @param wallMs the same on the wall clock
 */
public record KnownAsOf(long ms, long wallMs) {
  /** Nothing is known; far enough from the smallest number to be calculated with. */
  public static final KnownAsOf NEVER = new KnownAsOf(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

  /** Returns the later one. */
  public KnownAsOf latest(KnownAsOf other) {
    return other.ms > ms ? other : this;
  }

  /**
   * Returns the age of what is known. The monotonic clock stands still while a VM is suspended, and
   * the wall clock may be set back, so the longer one counts.
   */
  public long ageMs(long nowMs, long nowWallMs) {
    return Math.max(nowMs - ms, nowWallMs - wallMs);
  }
}
