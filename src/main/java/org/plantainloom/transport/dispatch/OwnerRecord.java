package org.plantainloom.transport.dispatch;

/**
 * The node that owns the workers, as stored.
 *
 * @param node the node's name
 * @param address host and port of its control interface
 * @param term number of this ownership, counted from 1; also the fencing token of its commands
 */
record OwnerRecord(String node, String address, long term) {}
