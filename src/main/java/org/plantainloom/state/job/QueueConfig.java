package org.plantainloom.state.job;

/**
 * A queue of jobs, as operators configure it.
 *
 * @param name the queue's name
 * @param host the host that callers address
 * @param pathPrefix prefix of the paths of its jobs
 * @param service the service whose workers run its tasks
 * @param priority the queue's priority; 0 is the most urgent
 * @param maxAttempts number of failed runs after which a task is given up
 * @param stretchFactor factor of the job's estimated run time in its completion time objective
 * @param objectiveMs fixed part of the completion time objective, in milliseconds
 * @param timeoutMs how long callers wait for a response, in milliseconds
 * @param requiresPermit whether each start requires a permit of the recommendation service
 */
public record QueueConfig(
    String name,
    String host,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretchFactor,
    long objectiveMs,
    long timeoutMs,
    boolean requiresPermit) {}
