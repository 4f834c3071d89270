package org.plantainloom.state.job;

/**
 * A task that a worker runs.
 *
 * @param task the task
 * @param run the run's number
 * @param checkpoint the last checkpoint; empty for none
 * @param percent progress; for a lasting task 100 once it serves
 * @param recentMeasurement over the last half second: for a task with a tail objective its tail
 *     latency in milliseconds, for any other the processor time in use in thousandths of a core; -1
 *     if not told
 */
public record ActiveRun(
    TaskKey task, long run, String checkpoint, int percent, long recentMeasurement) {}
