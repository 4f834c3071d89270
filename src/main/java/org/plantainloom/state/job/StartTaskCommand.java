package org.plantainloom.state.job;

/**
 * Command to a worker to start a run of a task.
 *
 * @param task the task
 * @param run number of the run, greater than that of any earlier run of the task
 * @param payload the job's payload
 * @param checkpoint checkpoint to resume from; empty for none
 * @param permit permit of the recommendation service; empty for none
 */
public record StartTaskCommand(
    TaskKey task, long run, String payload, String checkpoint, String permit) {}
