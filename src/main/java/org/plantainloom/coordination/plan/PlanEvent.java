package org.plantainloom.coordination.plan;

import org.plantainloom.state.EventKind;

/**
 * Something the planner decided that belongs on the time line.
 *
 * @param kind what happened
 * @param subject what it happened to
 * @param detail more for a person to read
 */
public record PlanEvent(EventKind kind, String subject, String detail) {}
