package org.plantainloom.coordination.dispatch;

import java.util.Optional;
import org.plantainloom.state.job.StartTaskCommand;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/** What the dispatcher wants sent to a worker. */
public sealed interface DispatchCommand {
  /** Returns the worker to send it to. */
  WorkerRegistration worker();

  /**
   * Start a task.
   *
   * @param leaseUntilMs end of the lease on the worker's clock
   */
  record Start(Run run, WorkerRegistration worker, StartTaskCommand command, long leaseUntilMs)
      implements DispatchCommand {}

  /** Stop a run. */
  record Stop(WorkerRegistration worker, TaskKey task, long number) implements DispatchCommand {}

  /** Let a run use only a share of its processor time. */
  record LimitCpu(WorkerRegistration worker, TaskKey task, long number, int percent)
      implements DispatchCommand {}

  /**
   * Renew the lease and read what the worker runs.
   *
   * @param leaseUntilMs end of the lease on the worker's clock; empty while that is not known
   * @param acknowledged number of the last end that is safely kept
   * @param waitMs how long the worker may wait for an end
   */
  record Poll(
      WorkerRegistration worker, Optional<Long> leaseUntilMs, long acknowledged, long waitMs)
      implements DispatchCommand {}
}
