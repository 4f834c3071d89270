package org.plantainloom.coordination.dispatch;

/**
 * Tells as of when this process knows all jobs and cancellations that the store has acknowledged,
 * and whether that is recent enough to start tasks.
 *
 * <p>Fault pattern: the store confirms the ownership while replies to the watch of the jobs are
 * lost or refused. The owner does not learn of cancellations then, and would start tasks of
 * cancelled jobs. See docs/design/0009.
 *
 * <p>Not thread-safe. Times are in milliseconds.
 */
final class JobsFreshness {
  /**
   * Age from which on nothing starts. A task may start for 3 s after its job's cancellation was
   * acknowledged. Of that time, a worker may take 0.6 s to carry out a start, and the store may
   * tell watches nothing for 1 s before it drops its history.
   */
  static final long MAX_AGE_MS = 1_300;

  private final DecisionLog log;
  private boolean starting = true;
  private KnownAsOf knownAsOf = KnownAsOf.NEVER;

  JobsFreshness(DecisionLog log) {
    this.log = log;
  }

  /**
   * Handles that all changes which the store acknowledged before a time are known.
   *
   * @param sentMs when the call was sent whose reply completes them, on the monotonic clock
   * @param sentWallMs the same on the wall clock
   */
  void confirm(long sentMs, long sentWallMs) {
    knownAsOf = knownAsOf.latest(new KnownAsOf(sentMs, sentWallMs));
  }

  /** Returns whether all is known that the store acknowledged before a time. */
  boolean isKnownAsOf(long ms) {
    return knownAsOf.ms() > ms;
  }

  /** Returns whether what is known is recent enough to start tasks, and logs when that changes. */
  boolean mayStart(long nowMs, long wallMs) {
    long ageMs = ageMs(nowMs, wallMs);
    boolean fresh = ageMs < MAX_AGE_MS;
    if (fresh != starting) {
      starting = fresh;
      log.logDecision(
          fresh ? "jobs-current" : "jobs-outdated",
          "jobs",
          "ageMs=" + ageMs + " effect=" + (fresh ? "starting" : "no starts"));
    }
    return fresh;
  }

  /** Returns the age of what is known. */
  long ageMs(long nowMs, long wallMs) {
    return knownAsOf.ageMs(nowMs, wallMs);
  }
}
