package org.plantainloom.program.standin;

import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-standin}. */
public final class StandinMain {
  private StandinMain() {}

  /** Starts a stand-in of the platform and its workers. */
  public static void main(String[] args) {
    ProgramLauncher.forProgram("plantainloom-standin")
        .run(args, StandinSettings::read, StandinProcess::run);
  }
}
