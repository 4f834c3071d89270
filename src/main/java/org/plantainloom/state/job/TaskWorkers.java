package org.plantainloom.state.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the workers that run tasks. The futures never complete exceptionally; a missing reply is
 * part of the reply types.
 */
public interface TaskWorkers {
  /**
   * Starts a run.
   *
   * @param leaseUntilMs end of the worker's lease on the worker's clock, in milliseconds
   */
  CompletableFuture<CommandReply> start(
      WorkerRegistration worker, StartTaskCommand command, long leaseUntilMs, long fencingToken);

  /** Stops a run. */
  CompletableFuture<CommandReply> stop(
      WorkerRegistration worker, TaskKey task, long run, long fencingToken);

  /**
   * Limits a run to a share of its CPU time.
   *
   * @param percent the share that it may use
   */
  CompletableFuture<CommandReply> limitCpu(
      WorkerRegistration worker, TaskKey task, long run, int percent, long fencingToken);

  /**
   * Renews a worker's lease, acknowledges ended runs and reads the worker's state.
   *
   * @param leaseUntilMs end of the lease on the worker's clock; empty while that clock is unknown
   * @param acknowledged sequence number of the last ended run whose outcome is safely stored; the
   *     worker no longer reports runs up to it
   * @param waitMs how long the worker may wait for a run to end before it replies, in milliseconds
   */
  CompletableFuture<PollReply> poll(
      WorkerRegistration worker,
      Optional<Long> leaseUntilMs,
      long acknowledged,
      long waitMs,
      long fencingToken);
}
