package org.plantainloom.transport.dispatch;

import java.util.OptionalLong;
import org.plantainloom.state.store.StoreItem;

/** Reads the count of owners, which another writer may have damaged. */
final class StoredTerm {
  private StoredTerm() {}

  /**
   * Returns the term of the last owner; empty if the item does not hold one.
   *
   * <p>Each term was written by a transaction of its own, which raised the revision of the store by
   * one at least. A larger number than the revision of its item was thus not written by an owner.
   */
  static OptionalLong parse(StoreItem item) {
    try {
      long term = Long.parseLong(item.value());
      return isPossible(term, item.revision()) ? OptionalLong.of(term) : OptionalLong.empty();
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns whether an owner with that term may have written an item at a revision. */
  static boolean isPossible(long term, long revision) {
    return term >= 1 && term <= revision;
  }
}
