package org.plantainloom.state;

/**
 * A service as a team declares it.
 *
 * @param name the service's name
 * @param replicas replicas to keep running
 * @param size resources of each replica
 * @param survivingPercent share of the replicas that must outlive the loss of one rack or zone
 * @param tailMs 99th percentile the team wants, in milliseconds
 */
public record ServiceSpec(
    String name, int replicas, ResourceVector size, int survivingPercent, int tailMs) {}
