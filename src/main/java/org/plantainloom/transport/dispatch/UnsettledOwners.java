package org.plantainloom.transport.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The owners whose leases may still be valid at workers, as stored with each change of the owner.
 *
 * @param term the term in which the list was written
 * @param complete whether no such owner is missing in the list
 * @param owners the owners, oldest first; the last one is the owner of the term
 */
record UnsettledOwners(long term, boolean complete, List<OwnerRecord> owners) {
  /** A longer list means many changes within one lease; then the new owner waits for the lease. */
  private static final int MAX_OWNERS = 8;

  UnsettledOwners {
    owners = List.copyOf(owners);
    for (OwnerRecord owner : owners) {
      Objects.requireNonNull(owner.node());
      Objects.requireNonNull(owner.address());
    }
  }

  /** Returns the list of an owner when the leases of those before it have all expired. */
  static UnsettledOwners settled(OwnerRecord owner) {
    return new UnsettledOwners(owner.term(), true, List.of(owner));
  }

  /**
   * Returns the list that a new owner writes.
   *
   * @param previousOwners the owners before it; empty if one of them may be unknown
   */
  static UnsettledOwners withSuccessor(
      Optional<List<OwnerRecord>> previousOwners, OwnerRecord successor) {
    List<OwnerRecord> owners = new ArrayList<>(previousOwners.orElse(List.of()));
    boolean complete = previousOwners.isPresent() && owners.size() < MAX_OWNERS;
    if (!complete) {
      owners.clear();
    }
    owners.removeIf(owner -> owner.isSameNode(successor));
    owners.add(successor);
    return new UnsettledOwners(successor.term(), complete, owners);
  }

  /** Returns the owners if all of them up to a term are listed. */
  Optional<List<OwnerRecord>> ownersUpTo(long lastTerm) {
    return complete && term == lastTerm ? Optional.of(owners) : Optional.empty();
  }
}
