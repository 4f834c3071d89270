package org.plantainloom.program;

/** Exit codes of the programs. */
public enum ExitCode {
  /** The program completed successfully. */
  OK(0),
  /** The program failed; a retry may succeed. */
  FAILED(1),
  /** The command line or the settings are invalid. */
  USAGE(2),
  /** The change conflicts with another change. */
  CONFLICT(3),
  /** The request was rejected, or its target does not exist. */
  REJECTED(4),
  /** A load run detected a violated invariant. */
  INVARIANT_VIOLATED(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the numeric exit status of the process. */
  public int code() {
    return code;
  }
}
