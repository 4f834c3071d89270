package org.plantainloom.coordination.routing;

/** Reason why a request did not run. */
public enum NotRunReason {
  /** No replica of the service is known. */
  NO_REPLICA("no-replica"),
  /** Every replica of the service is busy, ejected or already tried. */
  OVERLOADED("overloaded"),
  /** The connection failed, or the request was never written to it. */
  UNREACHABLE("unreachable"),
  /** The upstream rejected the request before running it. */
  REFUSED_UPSTREAM("refused-upstream"),
  /** The deadline passed before the request was sent. */
  DEADLINE("deadline"),
  /** The gateway is stopping. */
  STOPPING("stopping");

  private final String code;

  NotRunReason(String code) {
    this.code = code;
  }

  /** Returns the stable code that is returned to callers. */
  public String code() {
    return code;
  }
}
