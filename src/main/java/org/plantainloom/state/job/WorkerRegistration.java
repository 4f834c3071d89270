package org.plantainloom.state.job;

import java.util.List;
import org.plantainloom.state.ResourceVector;

/**
 * A worker as it registered itself.
 *
 * @param id the worker's id
 * @param service the service it belongs to
 * @param address host and port of its control interface
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param capacity what its tasks may reserve together
 * @param labels its kind and its rack
 * @param startedAtMs when this life of it began, in milliseconds since the epoch; 0 if unknown
 * @param clockMs its own clock when it registered or last told of itself; 0 if unknown
 */
public record WorkerRegistration(
    String id,
    String service,
    String address,
    String zone,
    boolean draining,
    ResourceVector capacity,
    List<String> labels,
    long startedAtMs,
    long clockMs) {

  /** Returns the rack, which is the last label; empty if there is none. */
  public String rack() {
    return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
  }
}
