package org.plantainloom.state;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The workers in the platform's VM list at one time.
 *
 * @param asOfMs when the platform compiled the list, in milliseconds since the epoch
 * @param byId the listed workers by name
 */
public record VmListing(long asOfMs, SortedMap<WorkerId, WorkerInfo> byId) {
  /** Creates the listing with a copy of the map. */
  public VmListing {
    byId = Collections.unmodifiableSortedMap(new TreeMap<>(byId));
  }

  /** Returns a listing of workers. */
  public static VmListing of(long asOfMs, Collection<WorkerInfo> workers) {
    SortedMap<WorkerId, WorkerInfo> byId = new TreeMap<>();
    workers.forEach(w -> byId.put(w.id(), w));
    return new VmListing(asOfMs, byId);
  }

  /** Returns an empty listing, used until the first one arrives. */
  public static VmListing empty() {
    return new VmListing(0, new TreeMap<>());
  }

  /** Returns the workers, ordered by name. */
  public Collection<WorkerInfo> workers() {
    return byId.values();
  }

  /** Returns the worker of that name, if listed. */
  public Optional<WorkerInfo> worker(WorkerId id) {
    return Optional.ofNullable(byId.get(id));
  }
}
