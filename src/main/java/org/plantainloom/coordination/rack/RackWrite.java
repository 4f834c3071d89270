package org.plantainloom.coordination.rack;

import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;

/**
 * A rack record to be written by compare-and-swap.
 *
 * @param rack the rack
 * @param expectedRevision the revision that it replaces
 * @param next the new record
 */
public record RackWrite(RackId rack, long expectedRevision, RackRecord next) {}
