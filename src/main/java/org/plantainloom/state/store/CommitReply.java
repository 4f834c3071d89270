package org.plantainloom.state.store;

import java.util.List;

/** Result of a transaction. */
public sealed interface CommitReply {
  /**
   * The transaction was committed.
   *
   * @param revision the store revision of the change
   */
  record Committed(long revision) implements CommitReply {}

  /**
   * A key did not have its expected revision; nothing was changed.
   *
   * @param current the current items of those checked keys that exist
   */
  record Conflict(List<StoreItem> current) implements CommitReply {}

  /**
   * The store refused the transaction; nothing was changed and nothing will be.
   *
   * @param reason cause of the refusal, for the log
   */
  record Refused(String reason) implements CommitReply {}

  /**
   * The store did not reply: the change may have been made, or may still be.
   *
   * @param reason cause of the failure, for the log
   */
  record Unknown(String reason) implements CommitReply {}
}
