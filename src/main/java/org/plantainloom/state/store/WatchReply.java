package org.plantainloom.state.store;

import java.util.List;

/** Result of waiting for changes. */
public sealed interface WatchReply {
  /**
   * The changes in order.
   *
   * @param events the changes; empty if there was none within the requested wait
   * @param nextRevision the revision to continue from
   */
  record Changes(List<StoreEvent> events, long nextRevision) implements WatchReply {}

  /** The store no longer has the requested history; the prefix must be read again. */
  record HistoryLost() implements WatchReply {}

  /**
   * The store did not reply, or refused the call.
   *
   * @param reason cause of the failure, for the log
   */
  record Unavailable(String reason) implements WatchReply {}
}
