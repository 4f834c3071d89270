package org.plantainloom.protocol;

/** Names of the HTTP headers that carry the meaning of requests and answers. */
public final class Headers {
  /** Identity of a caller's request; each attempt upstream carries and echoes it. */
  public static final String REQUEST_ID = "x-request-id";

  /** Time the caller still waits, in milliseconds. */
  public static final String DEADLINE_MS = "x-deadline-ms";

  /** {@code true} if the caller allows the request to run more than once. */
  public static final String IDEMPOTENT = "x-idempotent";

  /** What became of the request: see {@link OutcomeCode}. */
  public static final String OUTCOME = "x-outcome";

  /** The incarnation of the replica that an attempt is meant for. */
  public static final String INCARNATION = "x-incarnation";

  /** Requests that the answering worker is working on. */
  public static final String IN_FLIGHT = "x-in-flight";

  /** Stamp of the sender's hybrid logical clock. */
  public static final String CLOCK = "x-hlc";

  /** Availability zone of the caller. */
  public static final String ZONE = "x-zone";

  private Headers() {}
}
