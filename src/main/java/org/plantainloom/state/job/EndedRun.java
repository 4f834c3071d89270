package org.plantainloom.state.job;

/**
 * The end of a run, as its worker lists it.
 *
 * @param sequenceNumber the worker's own count of ends in this life
 * @param task the task
 * @param run the run's number
 * @param kind how it ended
 * @param checkpoint the last checkpoint; empty for none
 */
public record EndedRun(
    long sequenceNumber, TaskKey task, long run, RunOutcome kind, String checkpoint) {}
