package org.plantainloom.state.job;

import java.util.List;

/**
 * What a worker told of itself.
 *
 * @param clockMs the worker's steady clock in milliseconds
 * @param startedAtMs when this life of it began, in milliseconds since the epoch; 0 if not told
 * @param running the tasks it runs
 * @param ended the ends that were not acknowledged yet
 */
public record WorkerSnapshot(
    long clockMs, long startedAtMs, List<ActiveRun> running, List<EndedRun> ended) {}
