package org.plantainloom.coordination.plan;

import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.ZoneName;

/**
 * A service replica that takes requests.
 *
 * @param service the service as {@code team/name}
 * @param ref the replica's incarnation
 * @param worker the worker it runs on
 * @param address host and port
 * @param zone the worker's availability zone
 * @param region the worker's region
 * @param slots maximum number of requests that the worker serves concurrently
 */
public record Route(
    String service,
    TaskRef ref,
    WorkerId worker,
    String address,
    ZoneName zone,
    String region,
    int slots) {}
