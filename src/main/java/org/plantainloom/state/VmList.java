package org.plantainloom.state;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Port to the platform's list of VMs. */
public interface VmList {
  /** Returns the newest listing the platform gives, or empty if it does not answer. */
  CompletableFuture<Optional<VmListing>> list();
}
