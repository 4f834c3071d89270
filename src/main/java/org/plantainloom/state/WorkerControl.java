package org.plantainloom.state;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Port to the workers' control interface. */
public interface WorkerControl {
  /**
   * Sends one control message.
   *
   * @return the worker's report, or empty if none came in time; the orders may have been taken
   */
  CompletableFuture<Optional<WorkerReport>> sync(WorkerInfo worker, WorkerCommands commands);
}
