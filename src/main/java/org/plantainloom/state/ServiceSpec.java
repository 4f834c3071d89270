package org.plantainloom.state;

/**
 * Specification of a service, as declared by its team.
 *
 * @param name the service's name
 * @param replicas number of replicas to keep running
 * @param size resources of each replica
 * @param survivingPercent share of the replicas that must survive the loss of one rack or zone
 * @param tailMs target for the 99th percentile of the latency, in milliseconds
 */
public record ServiceSpec(
    String name, int replicas, ResourceVector size, int survivingPercent, int tailMs) {}
