package org.plantainloom.transport.dispatch;

/** Receives changes of this node's ownership, on the event loop. */
interface OwnershipListener {
  /**
   * Called when this node has become the owner. It may act once its first confirmation is stored.
   */
  void onGained(Ownership ownership, OwnershipConfirmations confirmations);

  /** Called when this node is no longer the owner. */
  void onLost(String reason);
}
