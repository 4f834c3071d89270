package org.plantainloom.state;

/**
 * An event of the timeline.
 *
 * @param at time of the event on the recording process's hybrid clock
 * @param process the recording process
 * @param kind what happened
 * @param subject what it concerns: a task, request, zone, worker, rack, member or team
 * @param detail human-readable details; may be empty
 */
public record TimelineEvent(
    HybridTimestamp at, String process, EventKind kind, String subject, String detail) {}
