package org.plantainloom.coordination.dispatch;

import java.util.Arrays;

/**
 * Recursive least squares with a Gaussian prior: estimates the coefficients of a linear model from
 * all samples so far. Old samples can be forgotten gradually. Features may be added at any time.
 */
final class RecursiveLeastSquares {
  private final double priorVariance;
  private final double noiseVariance;
  private final double drift;
  private double[] mean = new double[0];
  private double[][] covariance = new double[0][];

  /**
   * Creates an estimate without features.
   *
   * @param priorVariance variance of a coefficient before any sample; its mean is 0
   * @param noiseVariance variance of the part of a value that the features do not explain
   * @param drift growth of a coefficient's variance per sample, which makes old samples count less
   */
  RecursiveLeastSquares(double priorVariance, double noiseVariance, double drift) {
    this.priorVariance = priorVariance;
    this.noiseVariance = noiseVariance;
    this.drift = drift;
  }

  /** Adds features up to a total number. */
  void grow(int features) {
    int previous = mean.length;
    if (features <= previous) {
      return;
    }
    mean = Arrays.copyOf(mean, features);
    double[][] extended = new double[features][];
    for (int i = 0; i < features; i++) {
      extended[i] = i < previous ? Arrays.copyOf(covariance[i], features) : new double[features];
      if (i >= previous) {
        extended[i][i] = priorVariance;
      }
    }
    covariance = extended;
  }

  double coefficient(int feature) {
    return feature < mean.length ? mean[feature] : 0;
  }

  /** Returns the standard deviation of a coefficient. */
  double standardDeviation(int feature) {
    return Math.sqrt(feature < mean.length ? covariance[feature][feature] : priorVariance);
  }

  /** Updates the estimate with one sample. */
  void observe(double[] features, double value) {
    observe(features, value, noiseVariance);
  }

  /**
   * Updates the estimate with one sample whose noise has another variance than usual; features that
   * are missing at the end are 0.
   */
  void observe(double[] features, double value, double noise) {
    int n = features.length;
    double[] gain = new double[mean.length];
    double variance = noise;
    double error = value;
    for (int j = 0; j < n; j++) {
      if (features[j] != 0) {
        for (int i = 0; i < gain.length; i++) {
          gain[i] += covariance[i][j] * features[j];
        }
        error -= mean[j] * features[j];
      }
    }
    for (int j = 0; j < n; j++) {
      variance += features[j] * gain[j];
    }
    for (int i = 0; i < gain.length; i++) {
      mean[i] += gain[i] / variance * error;
      for (int j = 0; j < gain.length; j++) {
        covariance[i][j] -= gain[i] * gain[j] / variance;
      }
      covariance[i][i] = Math.min(priorVariance, covariance[i][i] + drift);
    }
  }
}
