package org.plantainloom.state.store;

/**
 * A key with its value.
 *
 * @param key the key
 * @param value the value as text
 * @param revision the store's revision of the last change
 */
public record StoreItem(String key, String value, long revision) {}
