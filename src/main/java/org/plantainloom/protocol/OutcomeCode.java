package org.plantainloom.protocol;

/** What became of a request, as told in {@link Headers#OUTCOME}. */
public enum OutcomeCode {
  /** It ran and this is its answer. */
  ANSWERED("answered"),
  /** It did not run anywhere. */
  NOT_RUN("not-run"),
  /** It may or may not have run. */
  UNKNOWN("unknown");

  private final String code;

  OutcomeCode(String code) {
    this.code = code;
  }

  /** Returns the header's value. */
  public String code() {
    return code;
  }

  /** Returns whether the header's value is this code. */
  public boolean matches(String value) {
    return code.equals(value);
  }
}
