package org.plantainloom.program.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainloom.coordination.rack.Binding;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.RunState;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkloadKind;

/** A rack that commits and starts every task immediately when it is bound. */
final class SimulatedRack {
  private final RackId rack;
  private final Map<TaskRef, RunningTask> running = new TreeMap<>();
  private final Map<TaskRef, Release> releases = new TreeMap<>();

  private long version;

  private record RunningTask(Commitment commitment, long startedMs) {}

  SimulatedRack(RackId rack) {
    this.rack = rack;
  }

  /**
   * Applies a plan: drops acknowledged releases, starts the bound tasks and evicts the stopped
   * ones.
   */
  void apply(RackPlan plan, long nowMs) {
    plan.acknowledged().forEach(releases::remove);
    for (Binding binding : plan.bindings()) {
      Commitment commitment =
          new Commitment(
              binding.ref(), binding.worker(), 1, binding.launch(), binding.checkpoint());
      running.put(binding.ref(), new RunningTask(commitment, nowMs));
    }
    for (TaskRef ref : plan.stops()) {
      RunningTask stopped = running.remove(ref);
      if (stopped != null) {
        release(stopped, ReleaseOutcome.EVICTED, nowMs);
      }
    }
  }

  /** Ends the batch tasks whose run time is over; returns their number. */
  int completeTasks(long nowMs) {
    int finished = 0;
    for (RunningTask task : List.copyOf(running.values())) {
      boolean batch = task.commitment().launch().kind() == WorkloadKind.BATCH;
      if (batch && progress(task, nowMs) >= task.commitment().launch().runMs()) {
        running.remove(task.commitment().ref());
        release(task, ReleaseOutcome.FINISHED, nowMs);
        finished++;
      }
    }
    return finished;
  }

  private static long progress(RunningTask task, long nowMs) {
    return task.commitment().checkpoint() + nowMs - task.startedMs();
  }

  private void release(RunningTask task, ReleaseOutcome outcome, long nowMs) {
    Commitment commitment = task.commitment();
    releases.put(
        commitment.ref(),
        new Release(commitment.ref(), commitment.worker(), outcome, progress(task, nowMs)));
  }

  RackStatus status() {
    List<CommitmentStatus> commitments = new ArrayList<>();
    for (RunningTask task : running.values()) {
      commitments.add(new CommitmentStatus(task.commitment(), Optional.of(RunState.RUNNING)));
    }
    return new RackStatus(
        rack, 1, 0, ++version, commitments, List.of(), List.copyOf(releases.values()), List.of());
  }
}
