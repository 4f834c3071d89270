package org.plantainloom.transport.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Asks other nodes to stop acting as owners. */
@FunctionalInterface
public interface OwnerPeers {
  /**
   * Makes a node give up any ownership below a term, for good.
   *
   * @param owner the node, as it was stored when it became the owner
   * @param term the term of the asking owner
   * @return for how many milliseconds the node has sent no command as such an owner; empty if there
   *     was no answer, or one from another node that has the address now. Completes normally
   */
  CompletableFuture<Optional<Long>> stopOwnership(OwnerRecord owner, long term);
}
