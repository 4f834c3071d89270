package org.plantainloom.coordination.dispatch;

/**
 * What a worker's monotonic clock showed at some moment, at the latest.
 *
 * @param workerId the worker
 * @param startedAtMs when its current life started, in milliseconds since the epoch; each life
 *     begins a clock of its own
 * @param latestClockMs its clock in milliseconds, or more
 */
public record WorkerClockReading(String workerId, long startedAtMs, long latestClockMs) {}
