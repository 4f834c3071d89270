package org.plantainloom.transport.dispatch;

/**
 * The node that owns the workers, as it is kept in the store.
 *
 * @param node the node's name
 * @param address host and port of its control interface
 * @param term counts the owners, from 1; also the fencing token of its orders
 */
record OwnerRecord(String node, String address, long term) {}
