package org.plantainloom.transport.node;

import org.plantainloom.state.ConfigIndex;

/**
 * The configuration index as read from the store, with the time of the read.
 *
 * @param index the index
 * @param asOfMs when the read was sent, in milliseconds since the epoch; the index is at least as
 *     recent as that
 */
public record ConfigIndexReading(ConfigIndex index, long asOfMs) {}
