package org.plantainloom.state.store;

import java.util.List;

/** Result of waiting for changes. */
public sealed interface WatchReply {
  /**
   * What changed, in order.
   *
   * @param events the changes; empty if the time passed without any
   * @param nextRevision the revision to continue from
   */
  record Changes(List<StoreEvent> events, long nextRevision) implements WatchReply {}

  /** The store no longer has the history asked for; the prefix must be read anew. */
  record HistoryLost() implements WatchReply {}

  /**
   * The store did not answer or refused.
   *
   * @param reason what happened, for the log
   */
  record Unavailable(String reason) implements WatchReply {}
}
