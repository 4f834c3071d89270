package org.plantainloom.coordination.rack;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.RunState;
import org.plantainloom.state.StartCommand;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.ThrottleCommand;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerInfo;

/** Derives the control message for one worker from the persisted record and the last report. */
final class CommandBuilder {
  private final RackOwner owner;
  private final RackRecord record;
  private final WorkerInfo worker;
  private final WorkerWatch watch;
  private final long leaseUntilMs;
  private final long nowMs;
  private final List<StartCommand> starts = new ArrayList<>();
  private final List<TaskRef> renewals = new ArrayList<>();
  private final List<TaskRef> stops = new ArrayList<>();
  private final List<TaskRef> forgets = new ArrayList<>();

  CommandBuilder(
      RackOwner owner, RackRecord record, WorkerInfo worker, long leaseUntilMs, long nowMs) {
    this.owner = owner;
    this.record = record;
    this.worker = worker;
    this.watch = owner.watch(worker.id(), nowMs);
    this.leaseUntilMs = leaseUntilMs;
    this.nowMs = nowMs;
  }

  WorkerCommands build() {
    boolean mayGrant = !watch.isSilent(nowMs, owner.policy().unreachableAfterMs());
    for (Commitment commitment : record.commitments()) {
      if (commitment.worker().equals(worker.id()) && !owner.isReleasing(commitment.ref())) {
        addCommitted(commitment, mayGrant);
      }
    }
    for (TaskReport report : watch.tasks()) {
      addUncommitted(report);
    }
    return new WorkerCommands(
        record.epoch(),
        targetGeneration(),
        leaseUntilMs,
        starts,
        renewals,
        stops,
        throttlesHere(),
        forgets);
  }

  private long targetGeneration() {
    return Math.max(watch.generation(), worker.generation());
  }

  private void addCommitted(Commitment commitment, boolean mayGrant) {
    Optional<TaskReport> report = owner.reportOf(commitment);
    if (owner.isStopRequested(commitment.ref())) {
      addStop(commitment, report, mayGrant);
    } else if (report.isEmpty()) {
      addStart(commitment, mayGrant);
    } else if (mayGrant && report.get().state() == RunState.RUNNING) {
      renewals.add(commitment.ref());
    }
  }

  private void addStop(Commitment commitment, Optional<TaskReport> report, boolean mayGrant) {
    boolean ended = report.flatMap(r -> r.state().outcome()).isPresent();
    if (ended) {
      return;
    }
    stops.add(commitment.ref());
    // A draining replica still answers its last requests, so its lease has to go on.
    if (mayGrant && report.isPresent()) {
      renewals.add(commitment.ref());
    }
  }

  private void addStart(Commitment commitment, boolean mayGrant) {
    boolean sameVm = commitment.generation() == targetGeneration();
    if (!mayGrant || !sameVm || !owner.areZonesFresh(nowMs) || owner.isZoneOut(worker)) {
      return;
    }
    long notAfterMs =
        Math.min(owner.zones().asOfMs() + owner.policy().startValidityMs(), leaseUntilMs);
    starts.add(
        new StartCommand(
            commitment.ref(), notAfterMs, commitment.launch(), commitment.checkpoint()));
  }

  private void addUncommitted(TaskReport report) {
    if (record.commitment(report.ref()).isPresent()) {
      return;
    }
    if (report.state().outcome().isEmpty()) {
      stops.add(report.ref());
    } else if (isSafeToForget(report.ref())) {
      forgets.add(report.ref());
    }
  }

  // The worker must remember an ended incarnation until no start order for it can still arrive.
  private boolean isSafeToForget(TaskRef ref) {
    long limitMs = owner.policy().startValidityMs() + 2 * owner.policy().clockSkewMs();
    return watch.endedFor(ref, nowMs, limitMs);
  }

  private List<ThrottleCommand> throttlesHere() {
    List<ThrottleCommand> here = new ArrayList<>();
    for (TaskReport report : watch.tasks()) {
      Integer percent = owner.throttles().get(report.ref());
      if (percent != null && report.state() == RunState.RUNNING) {
        here.add(new ThrottleCommand(report.ref(), percent));
      }
    }
    return here;
  }
}
