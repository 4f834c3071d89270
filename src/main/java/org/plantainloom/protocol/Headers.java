package org.plantainloom.protocol;

/** Names of the HTTP headers of requests and responses. */
public final class Headers {
  /** Id of a caller's request; sent with each attempt upstream and echoed in its response. */
  public static final String REQUEST_ID = "x-request-id";

  /** How much longer the caller waits, in milliseconds. */
  public static final String DEADLINE_MS = "x-deadline-ms";

  /** {@code true} if the caller allows the request to run more than once. */
  public static final String IDEMPOTENT = "x-idempotent";

  /** Outcome of the request: see {@link OutcomeCode}. */
  public static final String OUTCOME = "x-outcome";

  /** Incarnation of the replica that an attempt is addressed to. */
  public static final String INCARNATION = "x-incarnation";

  /** Number of requests that the responding worker is processing. */
  public static final String IN_FLIGHT = "x-in-flight";

  /** Timestamp of the sender's hybrid logical clock. */
  public static final String CLOCK = "x-hlc";

  /** Availability zone of the caller. */
  public static final String ZONE = "x-zone";

  private Headers() {}
}
