package org.plantainloom.state.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The operators' configuration.
 *
 * @param version grows with each change; 0 before the first
 * @param queues the queues
 * @param capacityEnforcingServices services whose workers refuse what does not fit
 * @param maxBodyBytes longest body of a request in bytes
 */
public record ClusterConfig(
    long version,
    List<QueueConfig> queues,
    List<String> capacityEnforcingServices,
    int maxBodyBytes) {
  /** The state before the first configuration is known. */
  public static final ClusterConfig UNKNOWN = new ClusterConfig(0, List.of(), List.of(), 0);

  /** Returns whether a configuration is held. */
  public boolean isKnown() {
    return version > 0;
  }

  /** Returns the queue with the longest prefix of a path under a host. */
  public Optional<QueueConfig> route(String host, String path) {
    return queues.stream()
        .filter(q -> q.host().equals(host) && path.startsWith(q.pathPrefix()))
        .max(Comparator.comparingInt(q -> q.pathPrefix().length()));
  }

  /** Returns the queue of a name. */
  public Optional<QueueConfig> queue(String name) {
    return queues.stream().filter(q -> q.name().equals(name)).findFirst();
  }
}
