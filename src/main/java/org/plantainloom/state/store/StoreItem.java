package org.plantainloom.state.store;

/**
 * A key of the transactional store with its value.
 *
 * @param key the key
 * @param value the value as text
 * @param revision the store revision of its last change
 */
public record StoreItem(String key, String value, long revision) {}
