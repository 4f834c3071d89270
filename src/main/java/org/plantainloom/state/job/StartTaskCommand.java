package org.plantainloom.state.job;

/**
 * What a worker is to start.
 *
 * @param task the task
 * @param run the run's number, larger than that of any earlier run of the task
 * @param payload the job's payload
 * @param checkpoint checkpoint to resume from; empty for none
 * @param permit permit of the recommendation service; empty for none
 */
public record StartTaskCommand(
    TaskKey task, long run, String payload, String checkpoint, String permit) {}
