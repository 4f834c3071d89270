package org.plantainloom.coordination.timeline;

import org.plantainloom.state.EventKind;

/**
 * Event of a state machine that is recorded in the {@link Timeline}.
 *
 * @param kind what happened
 * @param subject the object it happened to
 * @param detail details for operators
 */
public record DecisionEvent(EventKind kind, String subject, String detail) {}
