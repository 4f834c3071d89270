package org.plantainloom.state;

/**
 * What a worker says of one incarnation.
 *
 * @param ref the incarnation
 * @param state whether it runs
 * @param checkpoint progress that a next incarnation can resume from, in milliseconds of work
 * @param cpuMillis processor use in thousandths of a core; lags
 */
public record TaskReport(TaskRef ref, RunState state, long checkpoint, int cpuMillis) {}
