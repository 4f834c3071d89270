package org.plantainloom.transport.admin;

import java.util.concurrent.ThreadLocalRandom;

/** Spreads the attempts of operators who change the same document at the same time. */
final class AttemptPause {
  private static final int STEP_MS = 20;
  private static final int LONGEST_MS = 400;

  private AttemptPause() {}

  /**
   * Waits before an attempt, longer and more randomly the more attempts have failed.
   *
   * @param failed attempts that have failed so far; none waits not at all
   */
  static void after(int failed) {
    if (failed == 0) {
      return;
    }
    int boundMs = Math.min(LONGEST_MS, STEP_MS << Math.min(failed, 5));
    try {
      Thread.sleep(ThreadLocalRandom.current().nextInt(boundMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
