package org.plantainloom.transport.dispatch;

import java.util.Optional;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.store.StoreItem;

/** Reads when an owner sent a confirmation; another writer may have damaged that. */
final class StoredConfirmation {
  private StoredConfirmation() {}

  /** Returns the moment; empty if no owner can have written the item. */
  static Optional<OwnerTime> parse(StoreItem item) {
    try {
      OwnerTime time = Json.read(item.value(), OwnerTime.class);
      return time.wallMs() > 0 && StoredTerm.isPossible(time.term(), item.revision())
          ? Optional.of(time)
          : Optional.empty();
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }
}
