package org.plantainloom.coordination.rack;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.Release;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;

/** Derives a rack's next record from the persisted one and the controller's inputs. */
final class RackReconciler {
  private final RackController controller;
  private final RackRecord current;
  private final long nowMs;
  private final LeasePolicy policy;

  RackReconciler(RackController controller, RackRecord current, long nowMs) {
    this.controller = controller;
    this.current = current;
    this.nowMs = nowMs;
    this.policy = controller.policy();
  }

  /** Returns the next record, which equals the current one if nothing has to be persisted. */
  RackRecord next() {
    List<Commitment> commitments = new ArrayList<>();
    List<Release> releases = unacknowledgedReleases();
    keepOrRelease(commitments, releases);
    commitOrDecline(commitments, releases);
    long plannerEpoch =
        Math.max(current.plannerEpoch(), controller.plan().map(RackPlan::plannerEpoch).orElse(0L));
    RackRecord next =
        new RackRecord(
            current.rack(),
            current.owner(),
            current.epoch(),
            plannerEpoch,
            current.renewalHorizonMs(),
            commitments,
            releases);
    return withExtendedHorizon(withReportedCheckpoints(next));
  }

  private List<Release> unacknowledgedReleases() {
    Set<TaskRef> acknowledged =
        Set.copyOf(controller.plan().map(RackPlan::acknowledged).orElse(List.of()));
    List<Release> remaining = new ArrayList<>(current.releases());
    remaining.removeIf(r -> acknowledged.contains(r.ref()));
    return remaining;
  }

  private void keepOrRelease(List<Commitment> commitments, List<Release> releases) {
    for (Commitment commitment : current.commitments()) {
      Optional<Release> release = controller.releaseOf(commitment, nowMs);
      if (release.isPresent()) {
        releases.add(release.get());
      } else {
        commitments.add(commitment);
      }
    }
  }

  private void commitOrDecline(List<Commitment> commitments, List<Release> releases) {
    Map<WorkerId, ResourceVector> used = new HashMap<>();
    for (Commitment commitment : commitments) {
      used.merge(commitment.worker(), commitment.launch().size(), ResourceVector::plus);
    }
    for (Binding binding : controller.plan().map(RackPlan::bindings).orElse(List.of())) {
      if (current.commitment(binding.ref()).isPresent()
          || current.release(binding.ref()).isPresent()) {
        continue;
      }
      Admission admission = admit(binding, used);
      if (admission == Admission.COMMIT) {
        long generation = controller.listing().worker(binding.worker()).orElseThrow().generation();
        commitments.add(
            new Commitment(
                binding.ref(),
                binding.worker(),
                generation,
                binding.launch(),
                binding.checkpoint()));
        used.merge(binding.worker(), binding.launch().size(), ResourceVector::plus);
      } else if (admission == Admission.DECLINE) {
        releases.add(
            new Release(
                binding.ref(), binding.worker(), ReleaseOutcome.DECLINED, binding.checkpoint()));
      }
    }
  }

  private enum Admission {
    COMMIT,
    DECLINE,
    WAIT
  }

  private Admission admit(Binding binding, Map<WorkerId, ResourceVector> used) {
    if (controller.isStopRequested(binding.ref())) {
      return Admission.DECLINE;
    }
    if (!controller.areZonesFresh(nowMs)) {
      return Admission.WAIT;
    }
    Optional<WorkerInfo> listed = controller.listing().worker(binding.worker());
    if (listed.isEmpty()) {
      return Admission.DECLINE;
    }
    WorkerInfo worker = listed.get();
    ObservedWorker observed = controller.observedWorker(worker.id(), nowMs);
    ResourceVector required =
        used.getOrDefault(worker.id(), ResourceVector.ZERO).plus(binding.launch().size());
    boolean usable =
        !worker.leaving()
            && worker.rack().equals(current.rack())
            && !controller.isZoneOut(worker)
            && !observed.isSilent(nowMs, policy.unreachableAfterMs())
            && observed.generation() <= worker.generation()
            && required.fitsIn(worker.capacity());
    return usable ? Admission.COMMIT : Admission.DECLINE;
  }

  // New checkpoints alone do not justify a write each time; they are persisted along with other
  // changes, or once per checkpoint interval.
  private RackRecord withReportedCheckpoints(RackRecord next) {
    boolean changedOtherwise = !next.equals(current);
    if (!changedOtherwise && !controller.areCheckpointsDue(nowMs)) {
      return next;
    }
    List<Commitment> updated = new ArrayList<>();
    for (Commitment commitment : next.commitments()) {
      long reported = controller.reportOf(commitment).map(TaskReport::checkpoint).orElse(0L);
      updated.add(
          reported > commitment.checkpoint() ? commitment.withCheckpoint(reported) : commitment);
    }
    return new RackRecord(
        next.rack(),
        next.owner(),
        next.epoch(),
        next.plannerEpoch(),
        next.renewalHorizonMs(),
        updated,
        next.releases());
  }

  private RackRecord withExtendedHorizon(RackRecord next) {
    long targetMs = nowMs + policy.horizonMs();
    boolean expiring = next.renewalHorizonMs() < targetMs - policy.horizonSlackMs();
    if (next.commitments().isEmpty() || !expiring) {
      return next;
    }
    return new RackRecord(
        next.rack(),
        next.owner(),
        next.epoch(),
        next.plannerEpoch(),
        targetMs,
        next.commitments(),
        next.releases());
  }
}
