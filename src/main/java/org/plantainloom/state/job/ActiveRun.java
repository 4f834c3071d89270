package org.plantainloom.state.job;

/**
 * A run in progress, as its worker reports it.
 *
 * @param task the task
 * @param run number of the run
 * @param checkpoint the last checkpoint; empty for none
 * @param percent progress in percent; 100 for a lasting task that is ready to serve
 * @param recentMeasurement measured over the last half second: the tail latency in milliseconds of
 *     a task with a tail objective, or else the CPU usage in thousandths of a core; -1 if not
 *     reported
 */
public record ActiveRun(
    TaskKey task, long run, String checkpoint, int percent, long recentMeasurement) {}
