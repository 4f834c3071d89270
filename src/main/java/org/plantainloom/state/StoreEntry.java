package org.plantainloom.state;

/**
 * A key with its value.
 *
 * @param key the key
 * @param value the value
 * @param revision number that grows with each write of the key
 */
public record StoreEntry(String key, String value, long revision) {}
