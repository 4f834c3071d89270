package org.plantainloom.state.store;

import java.util.List;

/** Result of a transaction. */
public sealed interface CommitReply {
  /**
   * The transaction was carried out.
   *
   * @param revision the store's revision of the change
   */
  record Committed(long revision) implements CommitReply {}

  /**
   * A required revision did not hold; nothing was changed.
   *
   * @param current the items of the required keys that exist
   */
  record Conflict(List<StoreItem> current) implements CommitReply {}

  /**
   * Nothing was changed and nothing will be.
   *
   * @param reason why, for the log
   */
  record Refused(String reason) implements CommitReply {}

  /**
   * No answer: the change may have been made, or may still be.
   *
   * @param reason what happened, for the log
   */
  record Unknown(String reason) implements CommitReply {}
}
