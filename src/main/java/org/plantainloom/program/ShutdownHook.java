package org.plantainloom.program;

import org.jboss.logging.Logger;

/** Runs a planned stop when the process is told to end. */
public final class ShutdownHook {
  private static final Logger LOG = Logger.getLogger(ShutdownHook.class);

  private ShutdownHook() {}

  /** What a planned stop does. */
  @FunctionalInterface
  public interface ShutdownAction {
    /**
     * Stops the process gracefully.
     *
     * @throws Exception if the stop fails; the process ends all the same
     */
    void run() throws Exception;
  }

  /** Registers the stop for SIGTERM and SIGINT. */
  public static void register(ShutdownAction stop) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    stop.run();
                  } catch (Exception e) {
                    LOG.error("the planned stop failed", e);
                  }
                },
                "stop"));
  }
}
