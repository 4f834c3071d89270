package org.plantainloom.program.load;

import org.plantainloom.program.Program;

/** Entry point of {@code plantainloom-load}. */
public final class LoadMain {
  private LoadMain() {}

  /** Sends the readings and reports; exits with an error if a promise was broken. */
  public static void main(String[] args) {
    Program.named("plantainloom-load").run(args, LoadSettings::read, LoadRun::run);
  }
}
