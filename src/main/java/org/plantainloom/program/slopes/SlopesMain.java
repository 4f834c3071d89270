package org.plantainloom.program.slopes;

import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-slopes}. */
public final class SlopesMain {
  private SlopesMain() {}

  /** Measures running processes, or fits a line to the samples taken so far. */
  public static void main(String[] args) {
    ProgramLauncher.forProgram("plantainloom-slopes")
        .run(args, SlopesSettings::read, SlopesMeasurement::run);
  }
}
