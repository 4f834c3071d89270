package org.plantainloom.support;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for a condition that other threads bring about. */
public final class Await {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long TIMEOUT_S = 30;

  private static final long POLL_MS = 5;

  private Await() {}

  /** Returns whether the condition holds before the limit; waits until it does. */
  public static boolean until(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        return false;
      }
      try {
        Thread.sleep(POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return true;
  }
}
