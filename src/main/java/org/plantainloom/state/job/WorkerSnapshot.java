package org.plantainloom.state.job;

import java.util.List;

/**
 * State of a worker as it reports it.
 *
 * @param clockMs the worker's monotonic clock in milliseconds
 * @param startedAtMs when its current incarnation started, in milliseconds since the epoch; 0 if
 *     not reported
 * @param running the runs in progress
 * @param ended the ended runs that were not acknowledged yet
 */
public record WorkerSnapshot(
    long clockMs, long startedAtMs, List<ActiveRun> running, List<EndedRun> ended) {}
