package org.plantainloom.state;

/**
 * What a worker needs to know to run a task.
 *
 * @param kind service or batch
 * @param size resources reserved for it
 * @param runMs declared run time of a batch task in milliseconds; 0 for a service
 * @param maxThrottlePercent largest share of its speed that a batch task may lose, 0 to 90
 */
public record TaskLaunch(
    WorkloadKind kind, ResourceVector size, long runMs, int maxThrottlePercent) {}
