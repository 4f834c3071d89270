package org.plantainloom.state;

/**
 * A worker as the platform's VM list describes it.
 *
 * @param id the worker
 * @param rack its rack
 * @param zone its availability zone
 * @param region its region
 * @param address host and port that take requests and control messages
 * @param generation number that grows when the VM behind the name is replaced
 * @param capacity what may be committed on it at most
 * @param slots requests it serves at a time
 * @param connections connections it accepts at most
 * @param leaving whether the platform is about to take it away
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
