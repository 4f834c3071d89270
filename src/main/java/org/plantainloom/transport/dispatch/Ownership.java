package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
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
 */
record Ownership(
    OwnerRecord record,
    long leaseId,
    long revision,
    Optional<List<OwnerRecord>> previousOwners,
    OwnershipLease validity) {}
