package org.plantainloom.state.job;

/**
 * A queue of jobs, as operators configure it.
 *
 * @param name the queue's name
 * @param host the host that callers name
 * @param pathPrefix prefix of the paths of its jobs
 * @param service the service whose workers run its tasks
 * @param priority 0 is the most urgent
 * @param maxAttempts failed runs after which a task is given up
 * @param stretchFactor part of the objective that grows with the job's own length
 * @param objectiveMs fixed part of the objective in milliseconds
 * @param timeoutMs how long callers wait for an answer, in milliseconds
 * @param requiresPermit whether each start needs a permit of the recommendation service
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
