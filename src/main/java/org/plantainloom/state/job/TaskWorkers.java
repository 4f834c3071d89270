package org.plantainloom.state.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Port to the workers that run tasks. Calls never fail; no answer is told as such. */
public interface TaskWorkers {
  /**
   * Orders a start.
   *
   * @param leaseUntilMs end of the worker's lease on its own clock, in milliseconds
   */
  CompletableFuture<CommandReply> start(
      WorkerRegistration worker, StartTaskCommand order, long leaseUntilMs, long fencingToken);

  /** Orders a run to stop. */
  CompletableFuture<CommandReply> stop(
      WorkerRegistration worker, TaskKey task, long run, long fencingToken);

  /** Lets a run use only a share of its processor time. */
  CompletableFuture<CommandReply> limitCpu(
      WorkerRegistration worker, TaskKey task, long run, int percent, long fencingToken);

  /**
   * Renews a worker's lease, acknowledges ends and reads what it runs.
   *
   * @param leaseUntilMs end of the lease on the worker's clock; empty while that clock is not known
   * @param acknowledged number of the last end that is safely kept
   * @param waitMs how long the worker may wait for an end before it answers, in milliseconds
   */
  CompletableFuture<PollReply> poll(
      WorkerRegistration worker,
      Optional<Long> leaseUntilMs,
      long acknowledged,
      long waitMs,
      long fencingToken);
}
