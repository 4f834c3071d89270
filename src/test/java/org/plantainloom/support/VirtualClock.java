package org.plantainloom.support;

import org.plantainloom.state.TimeSource;

/** Clock that moves only when a test moves it. */
public final class VirtualClock implements TimeSource {
  private long nowMs;

  /** Creates a clock that shows the given time. */
  public VirtualClock(long startMs) {
    this.nowMs = startMs;
  }

  /** Moves the clock on. */
  public void advance(long ms) {
    nowMs += ms;
  }

  @Override
  public long nowMs() {
    return nowMs;
  }
}
