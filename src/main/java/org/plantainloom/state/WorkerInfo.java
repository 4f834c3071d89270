package org.plantainloom.state;

/**
 * A worker as the platform's VM list describes it.
 *
 * @param id the worker
 * @param rack its rack
 * @param zone its availability zone
 * @param region its region
 * @param address host and port for requests and control messages
 * @param generation increases when the VM behind the name is replaced
 * @param capacity the most that may be committed on it
 * @param slots maximum number of requests served at a time
 * @param connections maximum number of connections
 * @param leaving whether the platform is about to remove it
 */
public record WorkerInfo(
    WorkerId id,
    RackId rack,
    ZoneName zone,
    String region,
    String address,
    long generation,
    ResourceVector capacity,
    int slots,
    int connections,
    boolean leaving) {}
