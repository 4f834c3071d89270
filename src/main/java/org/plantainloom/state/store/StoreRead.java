package org.plantainloom.state.store;

import java.util.List;

/** Result of reading the store. */
public sealed interface StoreRead {
  /**
   * The items found.
   *
   * @param items the items, empty if there is none
   * @param at the store's revision before which nothing was missed
   */
  record Found(List<StoreItem> items, long at) implements StoreRead {}

  /**
   * The store did not answer or refused.
   *
   * @param reason what happened, for the log
   */
  record Unavailable(String reason) implements StoreRead {}
}
