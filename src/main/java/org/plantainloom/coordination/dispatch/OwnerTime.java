package org.plantainloom.coordination.dispatch;

/**
 * A moment on the clocks of the process that is the owner of a term.
 *
 * <p>The monotonic clock stands still while a VM is suspended, and the wall clock may be set back.
 * Of the time between two moments, the longer measurement therefore counts.
 *
 * @param term the owner's term; another term may mean another process
 * @param monotonicMs the moment on its monotonic clock
 * @param wallMs the moment on its wall clock
 */
public record OwnerTime(long term, long monotonicMs, long wallMs) {
  /** Returns the moment some time later, or before if the time is negative. */
  public OwnerTime plus(long durationMs) {
    return new OwnerTime(term, monotonicMs + durationMs, wallMs + durationMs);
  }

  /** Returns how much later than another moment of this owner this one is, at most. */
  long since(OwnerTime other) {
    return Math.max(monotonicMs - other.monotonicMs, wallMs - other.wallMs);
  }
}
