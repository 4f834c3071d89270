package org.plantainloom.program.operator;

/** Entry point of {@code plantainloom}, the command line for operators. */
public final class OperatorMain {
  private OperatorMain() {}

  /** Runs one command and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(OperatorCli.run(args).code());
  }
}
