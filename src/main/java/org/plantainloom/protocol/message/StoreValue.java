package org.plantainloom.protocol.message;

/**
 * A value read from the store.
 *
 * @param value the value
 * @param revision the revision of the key
 */
public record StoreValue(String value, long revision) {}
