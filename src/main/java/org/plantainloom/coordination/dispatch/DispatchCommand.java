package org.plantainloom.coordination.dispatch;

import java.util.Optional;
import org.plantainloom.state.job.StartTaskCommand;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/** A command that the dispatcher wants sent to a worker. */
public sealed interface DispatchCommand {
  /** Returns the worker that receives the command. */
  WorkerRegistration worker();

  /**
   * Starts a task.
   *
   * @param leaseUntilMs end of the lease on the worker's clock
   */
  record Start(Run run, WorkerRegistration worker, StartTaskCommand command, long leaseUntilMs)
      implements DispatchCommand {}

  /** Stops a run. */
  record Stop(WorkerRegistration worker, TaskKey task, long number) implements DispatchCommand {}

  /** Limits a run to a percentage of its processor time; 100 removes the limit. */
  record LimitCpu(WorkerRegistration worker, TaskKey task, long number, int percent)
      implements DispatchCommand {}

  /**
   * Renews the lease while a poll that does not may be under way. The reply tells nothing new.
   *
   * @param leaseUntilMs end of the lease on the worker's clock
   */
  record Renewal(WorkerRegistration worker, long leaseUntilMs) implements DispatchCommand {}

  /**
   * Renews the lease and reads the worker's runs.
   *
   * @param leaseUntilMs end of the lease on the worker's clock; empty for no renewal
   * @param acknowledged number of the last ended run whose job is persisted
   * @param waitMs how long the worker may hold the poll until a run ends
   */
  record Poll(
      WorkerRegistration worker, Optional<Long> leaseUntilMs, long acknowledged, long waitMs)
      implements DispatchCommand {}
}
