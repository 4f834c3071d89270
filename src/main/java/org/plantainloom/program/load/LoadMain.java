package org.plantainloom.program.load;

import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-load}. */
public final class LoadMain {
  private LoadMain() {}

  /** Sends the readings and prints a report; exits with an error if an invariant was violated. */
  public static void main(String[] args) {
    ProgramLauncher.forProgram("plantainloom-load").run(args, LoadSettings::read, LoadRun::run);
  }
}
