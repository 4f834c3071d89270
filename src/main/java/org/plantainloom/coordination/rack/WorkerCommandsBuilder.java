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

/**
 * Builds the control message for one worker from the persisted rack record and the worker's last
 * report.
 */
final class WorkerCommandsBuilder {
  private final RackController controller;
  private final RackRecord record;
  private final WorkerInfo worker;
  private final ObservedWorker observed;
  private final long leaseUntilMs;
  private final long nowMs;
  private final List<StartCommand> starts = new ArrayList<>();
  private final List<TaskRef> renewals = new ArrayList<>();
  private final List<TaskRef> stops = new ArrayList<>();
  private final List<TaskRef> forgets = new ArrayList<>();

  WorkerCommandsBuilder(
      RackController controller,
      RackRecord record,
      WorkerInfo worker,
      long leaseUntilMs,
      long nowMs) {
    this.controller = controller;
    this.record = record;
    this.worker = worker;
    this.observed = controller.observedWorker(worker.id(), nowMs);
    this.leaseUntilMs = leaseUntilMs;
    this.nowMs = nowMs;
  }

  WorkerCommands build() {
    boolean mayGrantLeases = !observed.isSilent(nowMs, controller.policy().unreachableAfterMs());
    for (Commitment commitment : record.commitments()) {
      if (commitment.worker().equals(worker.id()) && !controller.isReleasing(commitment.ref())) {
        addCommandsForCommitment(commitment, mayGrantLeases);
      }
    }
    for (TaskReport report : observed.taskReports()) {
      addCommandsForUncommitted(report);
    }
    return new WorkerCommands(
        record.epoch(),
        targetGeneration(),
        leaseUntilMs,
        starts,
        renewals,
        stops,
        throttlesForWorker(),
        forgets);
  }

  private long targetGeneration() {
    return Math.max(observed.generation(), worker.generation());
  }

  private void addCommandsForCommitment(Commitment commitment, boolean mayGrantLeases) {
    Optional<TaskReport> report = controller.reportOf(commitment);
    if (controller.isStopRequested(commitment.ref())) {
      addStop(commitment, report, mayGrantLeases);
    } else if (report.isEmpty()) {
      addStart(commitment, mayGrantLeases);
    } else if (mayGrantLeases && report.get().state() == RunState.RUNNING) {
      renewals.add(commitment.ref());
    }
  }

  private void addStop(Commitment commitment, Optional<TaskReport> report, boolean mayGrantLeases) {
    boolean ended = report.flatMap(r -> r.state().outcome()).isPresent();
    if (ended) {
      return;
    }
    stops.add(commitment.ref());
    // A draining replica is still answering its last requests, so its lease is renewed.
    if (mayGrantLeases && report.isPresent()) {
      renewals.add(commitment.ref());
    }
  }

  private void addStart(Commitment commitment, boolean mayGrantLeases) {
    boolean isCurrentVm = commitment.generation() == targetGeneration();
    if (!mayGrantLeases
        || !isCurrentVm
        || !controller.areZonesFresh(nowMs)
        || controller.isZoneOut(worker)) {
      return;
    }
    long notAfterMs =
        Math.min(controller.zones().asOfMs() + controller.policy().startValidityMs(), leaseUntilMs);
    starts.add(
        new StartCommand(
            commitment.ref(), notAfterMs, commitment.launch(), commitment.checkpoint()));
  }

  private void addCommandsForUncommitted(TaskReport report) {
    if (record.commitment(report.ref()).isPresent()) {
      return;
    }
    if (report.state().outcome().isEmpty()) {
      stops.add(report.ref());
    } else if (isSafeToForget(report.ref())) {
      forgets.add(report.ref());
    }
  }

  // The worker keeps an ended incarnation until no delayed start command for it can arrive.
  private boolean isSafeToForget(TaskRef ref) {
    long startExpiryMs =
        controller.policy().startValidityMs() + 2 * controller.policy().clockSkewMs();
    return observed.hasEndedForLongerThan(ref, nowMs, startExpiryMs);
  }

  private List<ThrottleCommand> throttlesForWorker() {
    List<ThrottleCommand> throttles = new ArrayList<>();
    for (TaskReport report : observed.taskReports()) {
      Integer percent = controller.throttles().get(report.ref());
      if (percent != null && report.state() == RunState.RUNNING) {
        throttles.add(new ThrottleCommand(report.ref(), percent));
      }
    }
    return throttles;
  }
}
