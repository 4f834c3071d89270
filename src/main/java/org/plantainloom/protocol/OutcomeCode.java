package org.plantainloom.protocol;

/** Outcome of a request, as sent in the header {@link Headers#OUTCOME}. */
public enum OutcomeCode {
  /** The request ran and this is its answer. */
  ANSWERED("answered"),
  /** The request did not run on any worker. */
  NOT_RUN("not-run"),
  /** The request may or may not have run. */
  UNKNOWN("unknown");

  private final String code;

  OutcomeCode(String code) {
    this.code = code;
  }

  /** Returns the value of the header. */
  public String code() {
    return code;
  }

  /** Returns whether a header value is this code. */
  public boolean matches(String value) {
    return code.equals(value);
  }
}
