package org.plantainloom.transport.dispatch;

import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;

/** Reads the record of the owner, which another writer may have damaged or replaced. */
final class StoredOwner {
  private StoredOwner() {}

  /**
   * Returns the owner.
   *
   * @param revision the revision of the item that holds the text
   * @throws MalformedMessageException if no owner can have written the text at that revision
   */
  static OwnerRecord parse(String text, long revision) {
    OwnerRecord owner = Json.read(text, OwnerRecord.class);
    if (owner.node() == null || owner.address() == null) {
      throw MalformedMessageException.of(OwnerRecord.class, "no node or address", null);
    }
    if (!StoredTerm.isPossible(owner.term(), revision)) {
      throw MalformedMessageException.of(OwnerRecord.class, "term " + owner.term(), null);
    }
    return owner;
  }
}
