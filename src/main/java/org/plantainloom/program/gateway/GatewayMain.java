package org.plantainloom.program.gateway;

import org.plantainloom.program.Program;

/** Entry point of {@code plantainloom-gateway}. */
public final class GatewayMain {
  private GatewayMain() {}

  /** Starts a gateway. */
  public static void main(String[] args) {
    Program.named("plantainloom-gateway").run(args, GatewaySettings::read, GatewayProcess::run);
  }
}
