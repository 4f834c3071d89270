package org.plantainloom.transport.dispatch;

import com.codahale.metrics.MetricRegistry;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.TaskWorkers;
import org.plantainloom.state.store.TransactionalStore;

/**
 * Dependencies and settings that the parts of a node share.
 *
 * @param name the node's name
 * @param controlAddress host and port at which other nodes reach this node
 * @param processors processor time that the node has per second, in cores
 * @param store the platform's store
 * @param workers sends commands to the workers
 * @param peers asks other nodes to stop acting as owners
 * @param codec decodes the store entries that operators and workers write
 * @param policy timeouts and limits of the dispatcher
 * @param metrics the node's metrics
 * @param startedMs a time before which this process has sent no command, on the monotonic clock;
 *     the earlier it is, the sooner a new owner knows that the leases of previous owners are over
 */
public record NodeContext(
    String name,
    String controlAddress,
    double processors,
    TransactionalStore store,
    TaskWorkers workers,
    OwnerPeers peers,
    ClusterCodec codec,
    DispatchPolicy policy,
    MetricRegistry metrics,
    long startedMs) {
  /** Returns a monotonic time in milliseconds. */
  public static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Returns the wall-clock time in milliseconds since the epoch. */
  static long wallMs() {
    return System.currentTimeMillis();
  }
}
