package org.plantainloom.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;

/**
 * What a worker has told in one life of its process: its clock and the numbers of its ended runs,
 * which begin anew with each life. It is replaced as a whole once the worker names another life.
 */
final class WorkerLife {
  private final long startedAtMs;
  private final Queue<UnacknowledgedEnd> unacknowledgedEnds = new ArrayDeque<>();

  /** The worker's clock as of {@link #clockReadMs}. */
  private long clockMs;

  /** When the worker's clock was read, on this process's clock. */
  private long clockReadMs;

  private final LatestWorkerClock latestClock = new LatestWorkerClock();

  /** Largest sequence number of an ended run that was reported. */
  private long lastEndSeen;

  /** Largest sequence number of an ended run that may be acknowledged. */
  private long acknowledgedEnd;

  /** Whether the worker has listed all ends that waited for an acknowledgement at some time. */
  private boolean allEndsListed;

  /** Whether the worker has answered in this life and every later call was answered, too. */
  private boolean certain = true;

  /**
   * An ended run that may be acknowledged to the worker once its job is persisted.
   *
   * @param number the worker's sequence number of the end
   * @param job the job whose progress has to be persisted first; null for none
   * @param version version of the job that includes the end
   */
  private record UnacknowledgedEnd(long number, JobState job, long version) {
    boolean isPersisted() {
      return job == null || job.persistedVersion >= version;
    }
  }

  /**
   * Creates a life from the first answer in it.
   *
   * @param startedAtMs when it began, as the worker says
   */
  WorkerLife(long startedAtMs, long clockMs, long nowMs) {
    this.startedAtMs = startedAtMs;
    this.clockMs = clockMs;
    this.clockReadMs = nowMs;
  }

  /** Returns whether a message that names a start time, or 0 for none, is of this life. */
  boolean isNamedBy(long otherStartedAtMs) {
    return otherStartedAtMs == 0 || otherStartedAtMs == startedAtMs;
  }

  /**
   * Handles an answer of this life.
   *
   * @param maxClockLagMs how far an answer that was overtaken may lag behind
   */
  void answered(long newClockMs, long maxClockLagMs, long nowMs) {
    certain = true;
    if (newClockMs >= clockAt(nowMs) - maxClockLagMs) {
      clockMs = newClockMs;
      clockReadMs = nowMs;
    }
  }

  /** Handles a call without an answer: the worker may have started again since. */
  void callFailed() {
    certain = false;
  }

  boolean isCertain() {
    return certain;
  }

  /** Returns when this life began, as the worker says; 0 if it does not. */
  long startedAtMs() {
    return startedAtMs;
  }

  /** Returns the latest time that the worker's clock may show. */
  LatestWorkerClock latestClock() {
    return latestClock;
  }

  /** Returns the worker's clock in milliseconds; behind by at most one message delay. */
  long clockAt(long nowMs) {
    return clockMs + (nowMs - clockReadMs);
  }

  /** Handles a list of all ends that are not acknowledged. */
  void listedAllEnds() {
    allEndsListed = true;
  }

  /**
   * Returns whether all runs are known that the worker has ended or runs for previous owners. A
   * worker that has answered may still keep ends that did not fit into its list.
   */
  boolean hasListedAllEnds() {
    return allEndsListed;
  }

  /** Returns whether an end has not been listed before, and takes note of its number. */
  boolean isNewEnd(long number) {
    if (number <= lastEndSeen) {
      return false;
    }
    lastEndSeen = number;
    return true;
  }

  /** Adds an end that may be acknowledged at once. */
  void addEnd(long number) {
    unacknowledgedEnds.add(new UnacknowledgedEnd(number, null, 0));
  }

  /** Adds an end that may be acknowledged once the current version of a job is persisted. */
  void addEnd(long number, JobState job) {
    unacknowledgedEnds.add(new UnacknowledgedEnd(number, job, job.version));
  }

  /** Advances the acknowledgement up to the first end whose job is not persisted yet. */
  void advanceAcknowledgement() {
    for (Iterator<UnacknowledgedEnd> it = unacknowledgedEnds.iterator(); it.hasNext(); ) {
      UnacknowledgedEnd end = it.next();
      if (!end.isPersisted()) {
        break;
      }
      acknowledgedEnd = end.number();
      it.remove();
    }
  }

  boolean hasUnacknowledgedEnds() {
    return !unacknowledgedEnds.isEmpty();
  }

  /** Returns the number up to which the worker may forget its ends; 0 if it may be another life. */
  long acknowledgement() {
    return certain ? acknowledgedEnd : 0;
  }
}
