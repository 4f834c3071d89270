package org.plantainloom.state;

/**
 * Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", OPODIS 2014).
 *
 * <p>Stamps never go back, and a stamp taken after a message was received is later than the one the
 * message carried.
 */
public final class HybridClock {
  /** How far ahead of the local clock a received stamp is believed, in milliseconds. */
  private static final long MAX_AHEAD_MS = 60_000;

  private final TimeSource time;
  private HybridTimestamp last = new HybridTimestamp(0, 0);

  /** Creates a clock on top of a wall clock. */
  public HybridClock(TimeSource time) {
    this.time = time;
  }

  /** Returns a stamp later than every stamp returned or observed before. */
  public synchronized HybridTimestamp tick() {
    long wall = time.nowMs();
    last =
        wall > last.wallMs()
            ? new HybridTimestamp(wall, 0)
            : new HybridTimestamp(last.wallMs(), last.counter() + 1);
    return last;
  }

  /** Takes note of a stamp that came with a message. */
  public synchronized void observe(HybridTimestamp received) {
    boolean believable = received.wallMs() <= time.nowMs() + MAX_AHEAD_MS;
    if (believable && received.compareTo(last) > 0) {
      last = received;
    }
  }
}
