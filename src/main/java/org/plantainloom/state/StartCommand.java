package org.plantainloom.state;

/**
 * Order to start an incarnation; idempotent.
 *
 * @param ref the incarnation
 * @param notAfterMs the worker refuses to start it later, in milliseconds since the epoch
 * @param launch what to run
 * @param checkpoint progress to resume from, in milliseconds of work
 */
public record StartCommand(TaskRef ref, long notAfterMs, TaskLaunch launch, long checkpoint) {}
