package org.plantainloom.soak;

/**
 * A request of a caller, and how it ended.
 *
 * @param method the HTTP method
 * @param sentMs when its last byte was sent
 * @param status the status of the response; 0 if there is none
 * @param state the state of the job in the response; empty if there is none
 */
record Exchange(
    int node,
    String method,
    String jobId,
    long sentMs,
    long endMs,
    End end,
    int status,
    String state) {
  /** Status of a response that says that there is no such job. */
  static final int GONE = 410;

  /** How long a caller waits for a response. */
  static final long DEADLINE_MS = 3_000;

  /** How a request ended. */
  enum End {
    ANSWERED,
    /** The connection ended after the whole request was sent and before a complete response. */
    CUT,
    /** The caller gave up. */
    TIMED_OUT,
    /** There was no connection, or it ended before the whole request was sent. */
    NOT_SENT
  }

  long durationMs() {
    return endMs - sentMs;
  }

  boolean isAnswer(String ofMethod) {
    return end == End.ANSWERED && method.equals(ofMethod);
  }

  boolean isSuccess() {
    return end == End.ANSWERED && status / 100 == 2;
  }

  @Override
  public String toString() {
    return method
        + " "
        + jobId
        + " at node-"
        + node
        + ", sent at "
        + Violation.wallMs(sentMs)
        + ", "
        + end
        + " after "
        + durationMs()
        + " ms"
        + (status == 0 ? "" : " with " + status + " " + state);
  }
}
