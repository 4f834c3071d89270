package org.plantainloom.coordination.dispatch;

import java.util.EnumMap;
import java.util.Map;

/** How long a lasting task has not been running under this owner, split by reason. */
final class LastingTaskWait {
  /** Longest time between two observations; above it, the owner did not decide in between. */
  private static final long MAX_OBSERVATION_GAP_MS = 1_000;

  /** Why a lasting task is not running. */
  enum Reason {
    /** A new owner does not know yet what the workers run. */
    TAKEOVER("takeover"),
    /** A silent worker may run it until its lease has ended. */
    SILENT_WORKER("silentWorker"),
    /** Workers with room for it are kept for short tasks. */
    RESERVED("reserved"),
    /** No worker has room for it. */
    NO_ROOM("noRoom"),
    /** It is started in the next round, or it failed a moment ago. */
    STARTING("starting"),
    /** The owner was paused, or the store did not confirm its ownership. */
    NOT_ACTING("notActing");

    private final String label;

    Reason(String label) {
      this.label = label;
    }

    String label() {
      return label;
    }
  }

  private final long sinceMs;
  private final Map<Reason, Long> durations = new EnumMap<>(Reason.class);
  private Reason reason;
  private long observedMs;
  private long loggedMs;
  private int namedTasks;

  LastingTaskWait(Reason reason, long nowMs) {
    this.sinceMs = nowMs;
    this.observedMs = nowMs;
    this.reason = reason;
  }

  /** Attributes the time since the last observation to the reason that was seen then. */
  void observe(Reason newReason, long nowMs) {
    attributeUntil(nowMs);
    reason = newReason;
  }

  private void attributeUntil(long nowMs) {
    long elapsedMs = nowMs - observedMs;
    Reason cause = elapsedMs > MAX_OBSERVATION_GAP_MS ? Reason.NOT_ACTING : reason;
    durations.merge(cause, elapsedMs, Long::sum);
    observedMs = nowMs;
  }

  Reason reason() {
    return reason;
  }

  long sinceMs() {
    return sinceMs;
  }

  long waitedMs(long nowMs) {
    return nowMs - sinceMs;
  }

  /** Returns when the wait was logged last; 0 if it has not been. */
  long loggedMs() {
    return loggedMs;
  }

  /** Returns the index of the task after the one that was named last, where several share this. */
  int namedTasks() {
    return namedTasks;
  }

  void logged(int taskIndex, long nowMs) {
    loggedMs = nowMs;
    namedTasks = taskIndex + 1;
  }

  /** Returns the part of a log line that tells the wait and its split by reason. */
  String logText(long nowMs) {
    attributeUntil(nowMs);
    StringBuilder text = new StringBuilder("waitedMs=").append(waitedMs(nowMs));
    durations.forEach(
        (cause, ms) -> {
          if (ms > 0) {
            text.append(' ').append(cause.label).append("Ms=").append(ms);
          }
        });
    return text.toString();
  }
}
