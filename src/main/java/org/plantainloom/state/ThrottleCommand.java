package org.plantainloom.state;

/**
 * Order to slow a batch task down; idempotent.
 *
 * @param ref the incarnation
 * @param percent share of its speed taken away, 0 to 90
 */
public record ThrottleCommand(TaskRef ref, int percent) {}
