package org.plantainloom.program.slopes;

import org.plantainloom.program.Program;

/** Entry point of {@code plantainloom-slopes}. */
public final class SlopesMain {
  private SlopesMain() {}

  /** Measures running processes, or fits a line to the samples taken so far. */
  public static void main(String[] args) {
    Program.named("plantainloom-slopes").run(args, SlopesSettings::read, SlopesMeasurement::run);
  }
}
