package org.plantainloom.program.gateway;

import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-gateway}. */
public final class GatewayMain {
  private GatewayMain() {}

  /** Starts a gateway. */
  public static void main(String[] args) {
    ProgramLauncher.forProgram("plantainloom-gateway")
        .run(args, GatewaySettings::read, GatewayProcess::run);
  }
}
