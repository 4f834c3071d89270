package org.plantainloom.program.node;

import org.plantainloom.platform.NodeSettings;
import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-node}. */
public final class NodeMain {
  private NodeMain() {}

  /** Starts a node; without options its settings are those that the platform names. */
  public static void main(String[] args) {
    String settings = System.getenv(NodeSettings.PATH_VARIABLE);
    String[] used =
        args.length == 0 && settings != null ? new String[] {"--config", settings} : args;
    ProgramLauncher.forProgram("plantainloom-node").run(used, NodeSettings::read, NodeProcess::run);
  }
}
