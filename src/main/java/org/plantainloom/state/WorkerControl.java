package org.plantainloom.state;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Port to the workers' control interface. */
public interface WorkerControl {
  /**
   * Sends a control message.
   *
   * @return the worker's report, or empty if none arrived in time; the worker may have carried out
   *     the commands nevertheless
   */
  CompletableFuture<Optional<WorkerReport>> sync(WorkerInfo worker, WorkerCommands commands);
}
