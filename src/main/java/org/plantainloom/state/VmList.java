package org.plantainloom.state;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Port to the platform's list of VMs. */
public interface VmList {
  /** Returns the platform's latest listing, or empty if the platform does not answer. */
  CompletableFuture<Optional<VmListing>> list();
}
