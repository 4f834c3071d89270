package org.plantainloom.program.scheduler;

import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-scheduler}. */
public final class SchedulerMain {
  private SchedulerMain() {}

  /** Starts a scheduler. */
  public static void main(String[] args) {
    ProgramLauncher.forProgram("plantainloom-scheduler")
        .run(args, SchedulerSettings::read, SchedulerProcess::run);
  }
}
