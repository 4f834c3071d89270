package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.store.StoreItem;

/**
 * What the store says of the owners before, as read for a claim.
 *
 * @param term the term of the last owner; empty if there was none
 * @param unsettledOwners the owners whose leases may still be valid
 * @param confirmation the last confirmation of an owner before; those since have not acted
 */
record Predecessors(
    Optional<StoreItem> term,
    Optional<StoreItem> unsettledOwners,
    Optional<StoreItem> confirmation) {
  private static final Logger LOG = Logger.getLogger(Predecessors.class);

  /** Returns the owners whose leases may still be valid; empty if one of them may be unknown. */
  Optional<List<OwnerRecord>> owners(long newTerm) {
    if (term.isEmpty() && unsettledOwners.isEmpty()) {
      return Optional.of(List.of());
    }
    try {
      return unsettledOwners.flatMap(
          item -> Json.read(item.value(), UnsettledOwners.class).ownersUpTo(newTerm - 1));
    } catch (MalformedMessageException e) {
      LOG.warnf("event=unsettled-owners-unreadable reason=%s", e.getMessage());
      return Optional.empty();
    }
  }

  /** Returns the last confirmation if no other owner before a term can have acted since. */
  Optional<StoredConfirmation> lastConfirmation(long newTerm) {
    return confirmation
        .flatMap(StoredConfirmation::parse)
        .filter(last -> last.lastTerm() == newTerm - 1);
  }

  long termRevision() {
    return revision(term);
  }

  long confirmationRevision() {
    return revision(confirmation);
  }

  private static long revision(Optional<StoreItem> item) {
    return item.map(StoreItem::revision).orElse(0L);
  }
}
