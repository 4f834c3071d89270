package org.plantainloom.state.job;

import java.util.Optional;

/**
 * Where and how the platform keeps what operators and workers write; implemented by the adapter.
 */
public interface ClusterCodec {
  /** Returns the prefix of all that operators write. */
  String operatorPrefix();

  /** Returns the prefix of the workers' registrations. */
  String workerPrefix();

  /**
   * Returns the configuration, if the key is that of the configuration and the text can be read.
   */
  Optional<ClusterConfig> config(String key, String text);

  /** Returns the availability zone that the key withdraws, if it does. */
  Optional<String> withdrawnZone(String key);

  /** Returns a worker's registration, unless it cannot be read or names no usable worker. */
  Optional<WorkerRegistration> worker(String key, String text);

  /** Returns the id of the worker that a key registers. */
  String workerId(String key);
}
