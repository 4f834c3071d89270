package org.plantainloom.state.job;

/**
 * A run that has ended, as its worker reports it.
 *
 * @param sequenceNumber the worker's count of ended runs since its start
 * @param task the task
 * @param run number of the run
 * @param kind how it ended
 * @param checkpoint the last checkpoint; empty for none
 */
public record EndedRun(
    long sequenceNumber, TaskKey task, long run, RunOutcome kind, String checkpoint) {}
