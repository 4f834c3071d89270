package org.plantainloom.state;

import java.util.List;

/**
 * Control message to a worker. All commands are idempotent and all times absolute, so a message
 * that is delayed or delivered twice does no harm.
 *
 * @param rackEpoch epoch of the sender's ownership; a worker refuses epochs lower than the highest
 *     it has seen
 * @param generation generation of the addressed VM; a VM of another generation refuses the message
 * @param leaseUntilMs end of the lease of every started or renewed task, in milliseconds since the
 *     epoch
 * @param starts tasks to start
 * @param renewals tasks whose lease is extended
 * @param stops tasks to checkpoint and stop; a task that was never started is refused from then on
 * @param throttles tasks to slow down
 * @param forgets ended tasks that no longer need to be reported
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

  /** Returns whether the message has commands other than renewals; only renewals may wait. */
  public boolean hasUrgentCommands() {
    return !(starts.isEmpty() && stops.isEmpty() && throttles.isEmpty() && forgets.isEmpty());
  }
}
