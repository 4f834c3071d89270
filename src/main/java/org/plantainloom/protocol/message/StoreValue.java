package org.plantainloom.protocol.message;

/**
 * A value read from the store.
 *
 * @param value the value
 * @param revision the key's revision
 */
public record StoreValue(String value, long revision) {}
