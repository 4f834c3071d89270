package org.plantainloom.coordination.config;

/** How much disturbance a kind of batch work bears. */
public enum DisturbanceTolerance {
  /** It may be evicted at need, but not slowed down. */
  LITTLE(0),
  /** It may run at half its speed. */
  SOME(50),
  /** It may run at a tenth of its speed. */
  MUCH(90);

  private final int maxThrottlePercent;

  DisturbanceTolerance(int maxThrottlePercent) {
    this.maxThrottlePercent = maxThrottlePercent;
  }

  /** Returns how far the work may be slowed down, in percent of its speed. */
  public int maxThrottlePercent() {
    return maxThrottlePercent;
  }
}
