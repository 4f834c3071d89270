package org.plantainloom.state.job;

import java.time.Duration;

/** Limits of a job, beyond which an owner could not hold it in memory or compute its times. */
public final class JobLimits {
  /**
   * Tasks of all occurrences of a job above which it is rejected. The owner keeps some bits of each
   * task in memory and in the store, so one absurd job would otherwise take down each owner that
   * reads it.
   */
  public static final long MAX_TASKS = 20_000;

  /** Longest estimate or period; longer ones would overflow sums of times. */
  private static final long MAX_DURATION_MS = Duration.ofDays(365).toMillis();

  private JobLimits() {}

  /** Returns whether a duration is within the limits. */
  public static boolean isDuration(long ms) {
    return ms >= 0 && ms <= MAX_DURATION_MS;
  }

  /** Returns whether the number of tasks and the times of a job are within the limits. */
  public static boolean areMetBy(JobSpec spec) {
    long tasks = spec.phases().stream().mapToLong(PhaseSpec::count).sum() * spec.occurrences();
    return tasks <= MAX_TASKS
        && spec.startAtMs() >= 0
        && spec.startAtMs() <= spec.acceptedMs() + MAX_DURATION_MS
        && isDuration(spec.periodMs());
  }
}
