package org.plantainloom.coordination.admission;

/**
 * Decides whether a request that needs the store is worth sending, from when the store last served
 * a call.
 *
 * <p>Load pattern: the store is silent or turns all calls away while callers go on submitting.
 * Without this decision each request waits for its timeouts at a node that knows better, and its
 * caller learns only near its deadline that it has to come back. A refused request has provably not
 * run, as nothing was sent.
 *
 * <p>While the store is unavailable, one call per interval tests whether it is back, whether or not
 * there are requests. Not thread-safe. Times are in milliseconds of a monotonic clock.
 */
public final class StoreAvailability {
  /** A store that serves at all does so in less than this, even when it is slow. */
  private static final long UNAVAILABLE_AFTER_MS = 500;

  private static final long PROBE_INTERVAL_MS = 250;

  /** Marks that no call is waiting for its first success. */
  private static final long NONE = -1;

  private long unservedSinceMs = NONE;
  private long lastProbeMs = Long.MIN_VALUE / 2;

  /** Returns whether to send a request; if not, it is refused as not run. */
  public boolean admits(long nowMs) {
    return !isUnavailable(nowMs);
  }

  /** Returns whether it is time to test whether the store is back. */
  public boolean isProbeDue(long nowMs) {
    return unservedSinceMs != NONE && nowMs - lastProbeMs >= PROBE_INTERVAL_MS;
  }

  /** Handles that a test was sent. */
  public void probeSent(long nowMs) {
    lastProbeMs = nowMs;
  }

  /** Returns whether no call has been served for a while although some were sent. */
  public boolean isUnavailable(long nowMs) {
    return unservedSinceMs != NONE && nowMs - unservedSinceMs > UNAVAILABLE_AFTER_MS;
  }

  /** Handles that a call was sent. */
  public void callSent(long nowMs) {
    if (unservedSinceMs == NONE) {
      unservedSinceMs = nowMs;
      lastProbeMs = nowMs;
    }
  }

  /** Handles that a call was served, whatever its result. */
  public void callServed() {
    unservedSinceMs = NONE;
  }
}
