package org.plantainloom.state;

import java.util.List;

/**
 * One control message to a worker. All orders are idempotent, and all times absolute, so a copy
 * that arrives late does no harm.
 *
 * @param rackEpoch epoch of the sender's ownership; the worker refuses a lower one than it has seen
 * @param generation the VM that is meant; another one refuses
 * @param leaseUntilMs end of the lease of every started or renewed task, in milliseconds since the
 *     epoch
 * @param starts tasks to start
 * @param renewals tasks whose lease is extended
 * @param stops tasks to checkpoint and stop; one never started is barred from starting
 * @param throttles tasks to slow down
 * @param forgets ended tasks that need no longer be reported
 */
public record WorkerCommands(
    long rackEpoch,
    long generation,
    long leaseUntilMs,
    List<StartCommand> starts,
    List<TaskRef> renewals,
    List<TaskRef> stops,
    List<ThrottleCommand> throttles,
    List<TaskRef> forgets) {

  /** Creates the message with copies of its lists. */
  public WorkerCommands {
    starts = List.copyOf(starts);
    renewals = List.copyOf(renewals);
    stops = List.copyOf(stops);
    throttles = List.copyOf(throttles);
    forgets = List.copyOf(forgets);
  }

  /** Returns whether the message changes what the worker does, beyond renewals. */
  public boolean hasUrgentCommands() {
    return !(starts.isEmpty() && stops.isEmpty() && throttles.isEmpty() && forgets.isEmpty());
  }
}
