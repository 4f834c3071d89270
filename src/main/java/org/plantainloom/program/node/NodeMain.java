package org.plantainloom.program.node;

import org.jboss.logging.Logger;
import org.plantainloom.platform.NodeSettings;
import org.plantainloom.program.ProgramLauncher;

/** Entry point of {@code plantainloom-node}. */
public final class NodeMain {
  private static final Logger LOG = Logger.getLogger(NodeMain.class);

  private NodeMain() {}

  /** Starts a node. Without options, the platform's environment variable names the settings. */
  public static void main(String[] args) {
    // Loading the classes of the program takes a second on a small VM.
    long startedMs = System.nanoTime() / 1_000_000;
    // A signal that arrives during the start would end the process.
    HangupSignal.onSignal(() -> LOG.info("event=reloaded changed=nothing"));
    String settingsPath = System.getenv(NodeSettings.PATH_VARIABLE);
    String[] options =
        args.length == 0 && settingsPath != null ? new String[] {"--config", settingsPath} : args;
    ProgramLauncher.forProgram("plantainloom-node")
        .run(options, NodeSettings::read, settings -> NodeProcess.run(settings, startedMs));
  }
}
