package org.plantainloom.program.slopes;

import org.plantainloom.program.Program;

/** Entry point of {@code plantainloom-slopes}. */
public final class SlopesMain {
  private SlopesMain() {}

  /** Samples running processes, or fits the samples taken so far. */
  public static void main(String[] args) {
    Program.named("plantainloom-slopes").run(args, SlopesSettings::read, SlopesRun::run);
  }
}
