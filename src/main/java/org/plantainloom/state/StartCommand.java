package org.plantainloom.state;

/**
 * Command to start an incarnation; idempotent.
 *
 * @param ref the incarnation
 * @param notAfterMs the worker refuses to start it after this time, in milliseconds since the epoch
 * @param launch what the worker needs to know to run the task
 * @param checkpoint progress to resume from, in milliseconds of work
 */
public record StartCommand(TaskRef ref, long notAfterMs, TaskLaunch launch, long checkpoint) {}
