package org.plantainloom.coordination.config;

/** How much disturbance by eviction and throttling a kind of batch work tolerates. */
public enum DisturbanceTolerance {
  /** It may be evicted, but not throttled. */
  LITTLE(0),
  /** It may be throttled to half its speed. */
  SOME(50),
  /** It may be throttled to a tenth of its speed. */
  MUCH(90);

  private final int maxThrottlePercent;

  DisturbanceTolerance(int maxThrottlePercent) {
    this.maxThrottlePercent = maxThrottlePercent;
  }

  /** Returns by how much the work may be throttled, in percent of its full speed. */
  public int maxThrottlePercent() {
    return maxThrottlePercent;
  }
}
