package org.plantainloom.state;

/**
 * A key of the key-value store with its value.
 *
 * @param key the key
 * @param value the value
 * @param revision increases with each write of the key
 */
public record StoreEntry(String key, String value, long revision) {}
