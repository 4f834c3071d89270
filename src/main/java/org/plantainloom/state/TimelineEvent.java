package org.plantainloom.state;

/**
 * One entry of the time line.
 *
 * @param at when, by the recording process's hybrid clock
 * @param process the recording process
 * @param kind what happened
 * @param subject what it happened to: a task, request, zone, worker, rack, member or team
 * @param detail more for a person to read; may be empty
 */
public record TimelineEvent(
    HybridTimestamp at, String process, EventKind kind, String subject, String detail) {}
