package org.plantainloom.coordination.routing;

/**
 * Bounds retries to a share of the requests, so that they cannot multiply an overload.
 *
 * <p>Each request earns a part of a token and each retry costs a whole one.
 */
public final class RetryBudget {
  private static final double EARNED_PER_REQUEST = 0.1;
  private static final double MAX_TOKENS = 20;

  private double tokens = MAX_TOKENS;

  /** Takes note of a new request. */
  public synchronized void recordRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + EARNED_PER_REQUEST);
  }

  /** Takes a token for a retry; returns whether there was one. */
  public synchronized boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
