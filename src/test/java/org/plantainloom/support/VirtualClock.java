package org.plantainloom.support;

import org.plantainloom.state.TimeSource;

/** Clock that advances only when {@link #advance} is called. */
public final class VirtualClock implements TimeSource {
  private long nowMs;

  /** Creates a clock that starts at the given time. */
  public VirtualClock(long startMs) {
    this.nowMs = startMs;
  }

  /** Advances the clock by the given duration. */
  public void advance(long durationMs) {
    nowMs += durationMs;
  }

  @Override
  public long nowMs() {
    return nowMs;
  }
}
