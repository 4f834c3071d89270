package org.plantainloom.program;

import org.jboss.logging.Logger;

/** Runs a graceful shutdown when the process receives SIGTERM or SIGINT. */
public final class ShutdownHook {
  private static final Logger LOG = Logger.getLogger(ShutdownHook.class);

  private ShutdownHook() {}

  /** Shuts a process down gracefully. */
  @FunctionalInterface
  public interface ShutdownAction {
    /**
     * Shuts the process down.
     *
     * @throws Exception if the shutdown fails; the process exits nevertheless
     */
    void run() throws Exception;
  }

  /** Registers an action to run as a JVM shutdown hook. */
  public static void register(ShutdownAction action) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    action.run();
                  } catch (Exception e) {
                    LOG.error("graceful shutdown failed", e);
                  }
                },
                "stop"));
  }
}
