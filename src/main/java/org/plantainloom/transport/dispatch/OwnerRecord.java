package org.plantainloom.transport.dispatch;

/**
 * The node that owns the workers, as stored.
 *
 * @param node the node's name
 * @param address host and port of its control interface
 * @param term number of this ownership, counted from 1; also the fencing token of its commands
 */
public record OwnerRecord(String node, String address, long term) {
  /** Returns whether both are ownerships of one node, possibly of different processes. */
  boolean isSameNode(OwnerRecord other) {
    return node.equals(other.node) && address.equals(other.address);
  }
}
