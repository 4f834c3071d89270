package org.plantainloom.transport.admin;

import java.util.concurrent.ThreadLocalRandom;

/** Randomized backoff between attempts at changing a document that others change as well. */
final class RetryBackoff {
  private static final int STEP_MS = 20;
  private static final int MAX_PAUSE_MS = 400;

  private RetryBackoff() {}

  /**
   * Sleeps for a random time whose bound doubles with each failed attempt, up to a maximum.
   *
   * @param failedAttempts number of attempts that have failed so far; 0 returns at once
   */
  static void pauseAfter(int failedAttempts) {
    if (failedAttempts == 0) {
      return;
    }
    int boundMs = Math.min(MAX_PAUSE_MS, STEP_MS << Math.min(failedAttempts, 5));
    try {
      Thread.sleep(ThreadLocalRandom.current().nextInt(boundMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
