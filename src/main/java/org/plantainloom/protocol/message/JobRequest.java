package org.plantainloom.protocol.message;

/**
 * Request to create a batch job.
 *
 * @param name the job's name
 * @param kind the kind of batch work, declared in the team's questionnaire
 * @param tasks number of tasks
 * @param urgent whether its tasks must start within seconds
 */
public record JobRequest(String name, String kind, int tasks, boolean urgent) {}
