package org.plantainloom.protocol.message;

/**
 * Revision of a key after a write.
 *
 * @param revision the revision
 */
public record StoreRevision(long revision) {}
