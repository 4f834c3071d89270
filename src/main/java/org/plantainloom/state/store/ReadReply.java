package org.plantainloom.state.store;

import java.util.List;

/** Result of reading the store. */
public sealed interface ReadReply {
  /**
   * The items found.
   *
   * @param items the items, empty if there is none
   * @param revision the store's revision before which nothing was missed
   */
  record Found(List<StoreItem> items, long revision) implements ReadReply {}

  /**
   * The store did not answer or refused.
   *
   * @param reason what happened, for the log
   */
  record Unavailable(String reason) implements ReadReply {}
}
