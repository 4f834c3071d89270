package org.plantainloom.program.operator;

/** Entry point of {@code plantainloom}, the operators' command line. */
public final class OperatorMain {
  private OperatorMain() {}

  /** Runs one command. */
  public static void main(String[] args) {
    System.exit(OperatorCli.run(args).code());
  }
}
