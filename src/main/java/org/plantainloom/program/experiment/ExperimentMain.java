package org.plantainloom.program.experiment;

import org.plantainloom.coordination.plan.PlacementPolicy;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.LogLevel;
import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-experiment}: compares placement policies. */
public final class ExperimentMain {
  private ExperimentMain() {}

  /** Runs every placement policy on the same job arrivals and prints a table of the results. */
  public static void main(String[] args) {
    ProgramLauncher.forProgram("plantainloom-experiment")
        .run(args, ExperimentSettings::read, ExperimentMain::compare);
  }

  private static ExitCode compare(ExperimentSettings settings) {
    LogLevel.ERROR.apply();
    System.out.println(PlacementResult.header());
    for (int workers : settings.sizes()) {
      for (PlacementPolicy policy : PlacementPolicy.values()) {
        PlacementResult result =
            new PlacementExperiment(policy, workers, settings.seed()).run(settings.seconds());
        System.out.println(result.line());
      }
    }
    return ExitCode.OK;
  }
}
