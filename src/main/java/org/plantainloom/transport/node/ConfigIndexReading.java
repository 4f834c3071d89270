package org.plantainloom.transport.node;

import org.plantainloom.state.ConfigIndex;

/**
 * The configuration index as read from the store.
 *
 * @param index the index
 * @param asOfMs when the read was sent, in milliseconds since the epoch; the index was in force
 *     then or later
 */
public record IndexReading(ConfigIndex index, long asOfMs) {}
