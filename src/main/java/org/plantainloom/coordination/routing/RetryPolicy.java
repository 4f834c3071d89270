package org.plantainloom.coordination.routing;

/** Decides whether a request may be retried. */
public final class RetryPolicy {
  private static final int MAX_ATTEMPTS = 4;

  private RetryPolicy() {}

  /**
   * Returns whether another attempt may be made.
   *
   * <p>A non-idempotent request is retried only if the last attempt is known not to have run.
   *
   * @param idempotent whether the request may run more than once
   * @param outcome outcome of the last attempt
   * @param attempts number of attempts made so far
   * @param remainingMs time left until the deadline, in milliseconds
   * @param budget the service's retry budget; charged only if all other conditions hold
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
