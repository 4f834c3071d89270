package org.plantainloom.coordination.routing;

/** Decides whether a request may be tried again. */
public final class RetryPolicy {
  private static final int MAX_ATTEMPTS = 4;

  private RetryPolicy() {}

  /**
   * Returns whether another attempt may be made.
   *
   * <p>A non-idempotent request is tried again only after an attempt that provably did not run.
   *
   * @param idempotent whether the request may run more than once
   * @param outcome how the last attempt ended
   * @param attempts attempts made so far
   * @param remainingMs time left until the deadline, in milliseconds
   * @param budget the service's retry budget; asked last
   */
  public static boolean mayRetry(
      boolean idempotent,
      AttemptOutcome<?> outcome,
      int attempts,
      long remainingMs,
      RetryBudget budget) {
    boolean safe =
        outcome instanceof AttemptOutcome.NotRun
            || (idempotent && outcome instanceof AttemptOutcome.Unknown);
    return safe && attempts < MAX_ATTEMPTS && remainingMs > 0 && budget.tryRetry();
  }
}
