package org.plantainloom.state.store;

import java.util.List;

/** Result of reading the store. */
public sealed interface ReadReply {
  /**
   * The store replied.
   *
   * @param items the items found; empty if there are none
   * @param revision the store revision of the read; a watch that continues from it misses no change
   */
  record Found(List<StoreItem> items, long revision) implements ReadReply {}

  /**
   * The store did not reply, or refused the call.
   *
   * @param reason cause of the failure, for the log
   */
  record Unavailable(String reason) implements ReadReply {}
}
