package org.plantainloom.coordination.routing;

/**
 * Limits retries to a share of the requests, so that they cannot amplify an overload.
 *
 * <p>A token bucket: each request adds a fraction of a token, and each retry takes a whole one.
 */
public final class RetryBudget {
  private static final double TOKENS_PER_REQUEST = 0.1;
  private static final double MAX_TOKENS = 20;

  private double tokens = MAX_TOKENS;

  /** Records a new request. */
  public synchronized void recordRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /** Takes a token for a retry if one is available; returns whether it was. */
  public synchronized boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
