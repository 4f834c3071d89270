package org.plantainloom.state;

/**
 * Command to slow down a batch task; idempotent.
 *
 * @param ref the incarnation
 * @param percent share of its speed that is taken away, 0 to 90
 */
public record ThrottleCommand(TaskRef ref, int percent) {}
