package org.plantainloom.coordination.dispatch;

/**
 * Distribution of the slack that serving tasks have without any disturbance.
 *
 * <p>Load pattern: the load of each serving job rises and falls within some seconds, each at its
 * own time. What one job shows now, the others of its image have shown before, so the low slacks of
 * all predict how far that of one may fall.
 */
final class OwnSlack {
  /** Samples before the distribution is used. */
  private static final int MIN_SAMPLES = 40;

  /** Samples after which all are halved, so that the distribution follows a change of load. */
  private static final int MAX_SAMPLES = 1_600;

  private static final double BIN_WIDTH = 0.1;
  private static final int BINS = 100;

  /** Share of the samples below the floor; measurements err, so the lowest ones are too low. */
  private static final double FLOOR_QUANTILE = 0.08;

  private final int[] counts = new int[BINS];
  private int samples;
  private boolean quantilesOutdated = true;
  private double floor;
  private double median;

  void observe(double slack) {
    int bin = (int) (slack / BIN_WIDTH);
    counts[Math.max(0, Math.min(BINS - 1, bin))]++;
    samples++;
    quantilesOutdated = true;
    if (samples > MAX_SAMPLES) {
      samples = 0;
      for (int i = 0; i < BINS; i++) {
        counts[i] /= 2;
        samples += counts[i];
      }
    }
  }

  boolean isKnown() {
    return samples >= MIN_SAMPLES;
  }

  /** Returns the slack at peak load. */
  double floor() {
    updateQuantiles();
    return floor;
  }

  /** Returns the difference between the slack at usual load and at peak load. */
  double swing() {
    updateQuantiles();
    return median - floor;
  }

  private void updateQuantiles() {
    if (quantilesOutdated) {
      floor = quantile(FLOOR_QUANTILE);
      median = quantile(0.5);
      quantilesOutdated = false;
    }
  }

  private double quantile(double share) {
    int below = 0;
    for (int i = 0; i < BINS; i++) {
      below += counts[i];
      if (below > share * samples) {
        return (i + 0.5) * BIN_WIDTH;
      }
    }
    return BINS * BIN_WIDTH;
  }
}
