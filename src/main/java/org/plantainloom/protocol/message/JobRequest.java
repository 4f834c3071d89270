package org.plantainloom.protocol.message;

/**
 * Request to create a batch job.
 *
 * @param name the job's name
 * @param kind kind of batch work declared in the questionnaire
 * @param tasks number of tasks
 * @param urgent whether it must start within seconds
 */
public record JobRequest(String name, String kind, int tasks, boolean urgent) {}
