package org.plantainloom.program;

/** Exit codes of the programs. */
public enum ExitCode {
  /** All went well. */
  OK(0),
  /** It failed, and trying again may help. */
  FAILED(1),
  /** The command line or the settings are wrong. */
  USAGE(2),
  /** The change conflicts with another one. */
  CONFLICT(3),
  /** What was asked for does not exist or was refused. */
  REJECTED(4),
  /** A promise was broken, as counted by a load run. */
  INVARIANT_VIOLATED(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the code for the shell. */
  public int code() {
    return code;
  }
}
