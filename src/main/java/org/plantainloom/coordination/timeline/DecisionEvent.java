package org.plantainloom.coordination.timeline;

import org.plantainloom.state.EventKind;

/**
 * Something a state machine decided or noticed that belongs on the time line.
 *
 * @param kind what happened
 * @param subject what it happened to
 * @param detail more for a person to read
 */
public record DecisionEvent(EventKind kind, String subject, String detail) {}
