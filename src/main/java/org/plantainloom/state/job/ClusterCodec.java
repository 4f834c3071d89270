package org.plantainloom.state.job;

import java.util.Optional;

/**
 * Keys and formats of the items that operators and workers write to the store; implemented by the
 * platform's adapter.
 */
public interface ClusterCodec {
  /** Returns the prefix of the keys that operators write. */
  String operatorPrefix();

  /** Returns the prefix of the keys of workers' registrations. */
  String workerPrefix();

  /**
   * Returns the configuration, or empty if the key is not that of the configuration or the text is
   * malformed.
   */
  Optional<ClusterConfig> config(String key, String text);

  /** Returns the availability zone that the key takes out of service, if it is such a key. */
  Optional<String> withdrawnZone(String key);

  /** Returns a worker's registration, or empty if it is malformed or its worker is not usable. */
  Optional<WorkerRegistration> worker(String key, String text);

  /** Returns the id of the worker that a key registers; empty if it registers none. */
  String workerId(String key);
}
