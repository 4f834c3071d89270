package org.plantainloom.state;

/**
 * A worker's report on one incarnation.
 *
 * @param ref the incarnation
 * @param state its state
 * @param checkpoint progress that the next incarnation can resume from, in milliseconds of work
 * @param cpuMillis CPU usage in thousandths of a core; lags behind the actual usage
 */
public record TaskReport(TaskRef ref, RunState state, long checkpoint, int cpuMillis) {}
