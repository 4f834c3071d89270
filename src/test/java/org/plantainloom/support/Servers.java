package org.plantainloom.support;

import com.linecorp.armeria.server.Server;
import java.util.concurrent.CompletableFuture;

/** Stops HTTP servers of tests. */
public final class Servers {
  private Servers() {}

  /**
   * Stops a server without waiting until its event loops have ended, as they go on for a quiet
   * period of two seconds.
   */
  public static void stopInBackground(Server server) {
    CompletableFuture<Void> unused = server.stop();
  }
}
