package org.plantainloom.state.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The configuration that operators maintain.
 *
 * @param version increases with each change; 0 before the first
 * @param queues the queues
 * @param capacityEnforcingServices services whose workers refuse tasks that exceed their capacity
 * @param maxBodyBytes maximum size of a request body in bytes
 */
public record ClusterConfig(
    long version,
    List<QueueConfig> queues,
    List<String> capacityEnforcingServices,
    int maxBodyBytes) {
  /** Stands for the configuration until the first one is received. */
  public static final ClusterConfig UNKNOWN = new ClusterConfig(0, List.of(), List.of(), 0);

  /** Returns whether a configuration was received. */
  public boolean isKnown() {
    return version > 0;
  }

  /** Returns the queue of the host that has the longest matching path prefix. */
  public Optional<QueueConfig> route(String host, String path) {
    return queues.stream()
        .filter(q -> q.host().equals(host) && path.startsWith(q.pathPrefix()))
        .max(Comparator.comparingInt(q -> q.pathPrefix().length()));
  }

  /** Returns the queue of that name. */
  public Optional<QueueConfig> queue(String name) {
    return queues.stream().filter(q -> q.name().equals(name)).findFirst();
  }
}
