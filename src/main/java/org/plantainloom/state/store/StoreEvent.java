package org.plantainloom.state.store;

import java.util.Optional;

/**
 * A change of a key.
 *
 * @param key the key
 * @param value the new value; empty if the key was removed
 * @param revision the store revision of the change
 */
public record StoreEvent(String key, Optional<String> value, long revision) {}
