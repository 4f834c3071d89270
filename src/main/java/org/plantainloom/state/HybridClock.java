package org.plantainloom.state;

/**
 * Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", OPODIS 2014).
 *
 * <p>Timestamps never decrease, and one taken after a message was received is later than the one
 * the message carried.
 */
public final class HybridClock {
  /** A received timestamp that is further ahead of the local clock is ignored. */
  private static final long MAX_AHEAD_MS = 60_000;

  private final TimeSource time;
  private HybridTimestamp last = new HybridTimestamp(0, 0);

  /** Creates a clock on top of a wall clock. */
  public HybridClock(TimeSource time) {
    this.time = time;
  }

  /** Returns a timestamp later than all that were returned or observed before. */
  public synchronized HybridTimestamp tick() {
    long wall = time.nowMs();
    last =
        wall > last.wallMs()
            ? new HybridTimestamp(wall, 0)
            : new HybridTimestamp(last.wallMs(), last.counter() + 1);
    return last;
  }

  /** Advances the clock to the timestamp of a received message. */
  public synchronized void observe(HybridTimestamp received) {
    boolean plausible = received.wallMs() <= time.nowMs() + MAX_AHEAD_MS;
    if (plausible && received.compareTo(last) > 0) {
      last = received;
    }
  }
}
