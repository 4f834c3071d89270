package org.plantainloom.coordination.routing;

/** Why a request did not run. */
public enum NotRunReason {
  /** No replica of the service is known. */
  NO_REPLICA("no-replica"),
  /** Every near replica is busy. */
  OVERLOADED("overloaded"),
  /** The connection could not be made, or the request was never written to it. */
  UNREACHABLE("unreachable"),
  /** The upstream refused it before running it. */
  REFUSED_UPSTREAM("refused-upstream"),
  /** The deadline passed before it was sent. */
  DEADLINE("deadline"),
  /** The gateway is stopping. */
  STOPPING("stopping");

  private final String code;

  NotRunReason(String code) {
    this.code = code;
  }

  /** Returns the stable code told to callers. */
  public String code() {
    return code;
  }
}
