package org.plantainloom.state;

import java.util.List;
import java.util.Optional;

/**
 * One answer of the platform's VM list.
 *
 * @param asOfMs when the platform gathered it, in milliseconds since the epoch
 * @param workers the workers it lists
 */
public record VmListing(long asOfMs, List<WorkerInfo> workers) {
  /** Creates the listing with a copy of the workers. */
  public VmListing {
    workers = List.copyOf(workers);
  }

  /** Returns the worker of that name, if listed. */
  public Optional<WorkerInfo> worker(WorkerId id) {
    return workers.stream().filter(w -> w.id().equals(id)).findFirst();
  }
}
