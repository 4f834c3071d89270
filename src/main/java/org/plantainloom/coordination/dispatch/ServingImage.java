package org.plantainloom.coordination.dispatch;

/**
 * What is known about a serving image: its undisturbed slack and the fill images that reduce it.
 */
final class ServingImage {
  /**
   * Variance of a coefficient before any sample. Coefficients are the loss of slack if an image
   * used all processors of a worker; many are 0, the others lie between 1 and 10.
   */
  private static final double PRIOR_VARIANCE = 9;

  /** Relative error of a worker's half-second measurements. */
  private static final double MEASUREMENT_ERROR = 0.08;

  /** Standard deviation of the change of the undisturbed slack within one second. */
  private static final double OWN_CHANGE_PER_S = 0.4;

  /**
   * Factor on the estimates. Measurements are rough and follow a change with a lag, which makes
   * estimates from changes too low by about a third.
   */
  private static final double LAG_CORRECTION = 1.4;

  /** Smaller coefficients do not matter: one fill task would take less than 0.15 of slack. */
  private static final double MIN_COEFFICIENT = 1.5;

  /** Standard deviations by which a coefficient is raised where too little is known of it. */
  private static final double CAUTION_DEVIATIONS = 1;

  final OwnSlack own = new OwnSlack();

  private final RecursiveLeastSquares estimate = new RecursiveLeastSquares(PRIOR_VARIANCE, 1, 0);

  /**
   * Learns from the change of a task's slack between two polls.
   *
   * @param useChange change of the share of processors in use, by feature
   * @param before slack at the earlier poll
   * @param after slack at the later poll
   * @param elapsedMs time between the polls
   */
  void observeChange(double[] useChange, double before, double after, long elapsedMs) {
    double drift = OWN_CHANGE_PER_S * elapsedMs / 1_000;
    double noise =
        MEASUREMENT_ERROR * MEASUREMENT_ERROR * (before * before + after * after) + drift * drift;
    estimate.grow(useChange.length);
    estimate.observe(useChange, before - after, noise);
  }

  /** Returns the expected coefficient; 0 unless it is larger than its standard deviation. */
  double likelyCoefficient(int feature) {
    double coefficient = estimate.coefficient(feature);
    boolean significant =
        coefficient >= MIN_COEFFICIENT && coefficient > estimate.standardDeviation(feature);
    return significant ? LAG_CORRECTION * coefficient : 0;
  }

  /**
   * Returns a coefficient that is higher the less is known of it; 0 once the pair is known to be
   * harmless. Small remainders would add up over the tasks of a worker and keep all fill tasks away
   * from serving tasks that have no slack left by themselves.
   */
  double cautiousCoefficient(int feature) {
    double deviation = estimate.standardDeviation(feature);
    double coefficient = estimate.coefficient(feature) + CAUTION_DEVIATIONS * deviation;
    return coefficient < MIN_COEFFICIENT ? 0 : LAG_CORRECTION * coefficient;
  }

  /** Returns the slack that fill tasks are expected to take, by the share that each image uses. */
  double likelyLoss(double[] use) {
    double loss = 0;
    for (int feature = 0; feature < use.length; feature++) {
      loss += use[feature] > 0 ? likelyCoefficient(feature) * use[feature] : 0;
    }
    return loss;
  }

  /** Returns the slack that fill tasks may take; more than expected where little is known. */
  double mayLose(double[] use) {
    double loss = 0;
    for (int feature = 0; feature < use.length; feature++) {
      loss += use[feature] > 0 ? cautiousCoefficient(feature) * use[feature] : 0;
    }
    return loss;
  }
}
