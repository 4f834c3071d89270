package org.plantainloom.state;

/**
 * What a worker needs to know to run a task.
 *
 * @param kind service or batch
 * @param size resources reserved for it
 * @param runMs run time of a batch task in milliseconds as declared; 0 for a service
 * @param maxThrottlePercent how far a batch task may be slowed down, 0 to 90
 */
public record TaskLaunch(
    WorkloadKind kind, ResourceVector size, long runMs, int maxThrottlePercent) {}
