package org.plantainloom.program.scheduler;

import org.plantainloom.program.Program;

/** Entry point of {@code plantainloom-scheduler}. */
public final class SchedulerMain {
  private SchedulerMain() {}

  /** Starts a scheduler. */
  public static void main(String[] args) {
    Program.named("plantainloom-scheduler")
        .run(args, SchedulerSettings::read, SchedulerProcess::run);
  }
}
