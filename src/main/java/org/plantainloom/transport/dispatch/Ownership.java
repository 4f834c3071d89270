package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.plantainloom.coordination.dispatch.LastConfirmation;
import org.plantainloom.coordination.dispatch.OwnerClocks;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.coordination.dispatch.OwnershipLease;

/**
 * This node's ownership of the workers.
 *
 * @param record the value of the owner key
 * @param leaseId the lease of the owner key
 * @param revision the revision at which this node wrote the owner key
 * @param previousOwners the owners whose leases may still be valid at workers; empty if unknown
 * @param validity until when this node may act as the owner; each confirmation by the store extends
 *     it
 * @param lastConfirmation the last confirmation of an owner before this one; empty if one of them
 *     was of a release that does not store that, or what it stored is damaged
 * @param clocks what this node knows of the clocks of the owners
 */
record Ownership(
    OwnerRecord record,
    long leaseId,
    long revision,
    Optional<List<OwnerRecord>> previousOwners,
    OwnershipLease validity,
    Optional<LastConfirmation> lastConfirmation,
    OwnerClocks clocks) {
  /**
   * Returns the latest time of a moment that the stored list of workers names; empty if it is not
   * known, or if an owner of a release that ignores such moments may have followed the writer.
   */
  OptionalLong latestMs(OwnerTime moment) {
    return lastConfirmation.map(last -> last.latestMs(moment)).orElse(OptionalLong.empty());
  }
}
