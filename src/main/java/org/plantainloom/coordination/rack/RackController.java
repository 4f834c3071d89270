package org.plantainloom.coordination.rack;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.Release;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.state.WriteResult;

/**
 * Decides what one scheduler does for one rack, which it may own, claim or only observe.
 *
 * <p>The state machine is level-triggered: it holds the persisted record, the planner's latest plan
 * and the workers' latest reports, and derives from them the next record to persist and the
 * commands to send. Lost and repeated messages therefore need no special handling. Commands to
 * workers are derived from the persisted record only, so nothing starts that is not committed.
 */
public final class RackController {
  // Leases expire and workers become unreachable as time passes, without any new input.
  private static final long RECONCILE_INTERVAL_MS = 500;

  private final RackId rack;
  private final MemberId self;
  private final LeasePolicy policy;
  private final Map<WorkerId, ObservedWorker> observedWorkers = new HashMap<>();
  private final Map<TaskRef, Integer> throttles = new TreeMap<>();
  private final LeaseTracker leases;
  private final ReleaseRule releaseRule;
  private final StatusChangeTracker statusChanges = new StatusChangeTracker();

  private Optional<RackRecord> persisted = Optional.empty();
  private long revision;
  private boolean writeInFlight;
  private boolean needsRead = true;
  private Optional<RackPlan> plan = Optional.empty();
  private VmListing listing = VmListing.empty();
  private ZoneView zones = new ZoneView(0, Set.of());
  private long lastCheckpointMs;
  private long inputVersion;
  private long reconciledInputVersion = -1;
  private long reconciledAtMs;
  private long confirmedAtMs;
  // Incarnations that the write in flight releases.
  private Set<TaskRef> releasing = Set.of();

  /** Creates the state machine; it does not own the rack until the record is read or claimed. */
  public RackController(RackId rack, MemberId self, LeasePolicy policy) {
    this.rack = rack;
    this.self = self;
    this.policy = policy;
    this.leases = new LeaseTracker(policy);
    this.releaseRule = new ReleaseRule(policy, leases);
  }

  /** Returns the rack that this state machine decides for. */
  public RackId rack() {
    return rack;
  }

  /** Returns whether the last known record names this scheduler as the owner. */
  public boolean owns() {
    return persisted.filter(r -> r.owner().equals(self)).isPresent();
  }

  /** Returns the last known record. */
  public Optional<RackRecord> record() {
    return persisted;
  }

  /** Returns the epoch of the last known record. */
  public long epoch() {
    return persisted.map(RackRecord::epoch).orElse(0L);
  }

  /**
   * Requests a read of the record if the store has not confirmed it for {@link
   * LeasePolicy#confirmIntervalMs()}.
   *
   * <p>An owner that was paused while another scheduler took the rack over would otherwise not
   * notice as long as it has nothing to write.
   */
  public void requestReadIfUnconfirmed(long nowMs) {
    if (owns() && nowMs - confirmedAtMs > policy.confirmIntervalMs()) {
      needsRead = true;
    }
  }

  /** Returns whether the record has to be read before any other decision. */
  public boolean needsRead() {
    return needsRead && !writeInFlight;
  }

  /** Updates the record to the one in the store; an older revision is ignored. */
  public void updateRecord(RackRecord record, long newRevision, long nowMs) {
    if (newRevision < revision) {
      return;
    }
    boolean sameOwnership = owns() && epoch() == record.epoch();
    persisted = Optional.of(record);
    revision = newRevision;
    needsRead = false;
    releasing = Set.of();
    inputVersion++;
    if (!sameOwnership) {
      resetVolatileState(record);
    }
    confirmedAtMs = nowMs;
  }

  /** Handles a read that found no record of the rack. */
  public void handleMissingRecord() {
    persisted = Optional.empty();
    revision = 0;
    needsRead = false;
  }

  private void resetVolatileState(RackRecord record) {
    plan = Optional.empty();
    observedWorkers.clear();
    throttles.clear();
    leases.reset(record);
    statusChanges.reset();
  }

  /** Returns the write that makes this scheduler the owner, which is then in flight. */
  public RackWrite claim() {
    requireIdle();
    RackRecord next = persisted.map(r -> r.ownedBy(self)).orElse(RackRecord.empty(rack, self));
    return startWrite(next);
  }

  /** Returns the write that makes another scheduler the owner, which is then in flight. */
  public RackWrite handOver(MemberId successor) {
    requireIdle();
    RackRecord held = persisted.orElseThrow();
    return startWrite(held.ownedBy(successor));
  }

  /** Returns whether neither a read nor a write of the record is outstanding. */
  public boolean isIdle() {
    return !writeInFlight && !needsRead;
  }

  private void requireIdle() {
    if (!isIdle()) {
      throw new IllegalStateException(
          "rack " + rack + ": a read or write of its record is outstanding");
    }
  }

  /**
   * Accepts the planner's plan unless it is outdated or meant for another ownership; returns
   * whether it was accepted.
   */
  public boolean acceptPlan(RackPlan received) {
    if (received.rackEpoch() > epoch()) {
      needsRead = true;
    }
    if (!owns() || received.rackEpoch() != epoch()) {
      return false;
    }
    long knownPlannerEpoch =
        Math.max(
            persisted.orElseThrow().plannerEpoch(), plan.map(RackPlan::plannerEpoch).orElse(0L));
    if (received.plannerEpoch() < knownPlannerEpoch) {
      return false;
    }
    boolean outdated =
        plan.filter(
                p ->
                    p.plannerEpoch() == received.plannerEpoch()
                        && p.sequence() >= received.sequence())
            .isPresent();
    if (outdated) {
      return false;
    }
    plan = Optional.of(received);
    inputVersion++;
    return true;
  }

  /** Records a worker's report; if it shows a later owner, the record has to be read. */
  public void recordReport(WorkerReport report, long nowMs) {
    observedWorker(report.worker(), nowMs).recordReport(report, epoch(), nowMs);
    inputVersion++;
    if (report.fencingEpoch() > epoch()) {
      needsRead = true;
    }
  }

  /** Updates the listing of VMs; an older one is ignored. */
  public void updateVmList(VmListing newListing, long nowMs) {
    if (newListing.asOfMs() < listing.asOfMs()) {
      return;
    }
    listing = newListing;
    for (WorkerId worker : committedWorkers()) {
      observedWorker(worker, nowMs).recordListing(listing.worker(worker).isPresent(), nowMs);
    }
  }

  private Set<WorkerId> committedWorkers() {
    Set<WorkerId> workers = new TreeSet<>();
    persisted.ifPresent(r -> r.commitments().forEach(c -> workers.add(c.worker())));
    return workers;
  }

  /** Updates the view of the availability zones; an older one is ignored. */
  public void updateZones(ZoneView newZones) {
    if (newZones.asOfMs() >= zones.asOfMs()) {
      zones = newZones;
      inputVersion++;
    }
  }

  /** Sets the percentage by which a batch task is throttled until it is released. */
  public void throttle(TaskRef ref, int percent) {
    throttles.put(ref, percent);
  }

  /** Returns whether committing or starting a task needs a newer view of the availability zones. */
  public boolean needsZones(long nowMs) {
    boolean stale = nowMs - zones.asOfMs() > policy.startValidityMs() / 2;
    return stale && owns() && (hasNewBindings() || hasUnstartedCommitments());
  }

  private boolean hasNewBindings() {
    RackRecord record = persisted.orElseThrow();
    return plan.stream()
        .flatMap(p -> p.bindings().stream())
        .anyMatch(b -> !isKnown(record, b.ref()));
  }

  private boolean hasUnstartedCommitments() {
    return persisted.orElseThrow().commitments().stream()
        .anyMatch(c -> reportOf(c).isEmpty() && !isStopRequested(c.ref()));
  }

  /** Returns a number that grows with each input that may require a message to a worker. */
  long inputVersion() {
    return inputVersion;
  }

  /**
   * Returns the write of the next record, which is then in flight; empty if nothing changed or no
   * write may be started.
   */
  public Optional<RackWrite> nextWrite(long nowMs) {
    boolean upToDate =
        inputVersion == reconciledInputVersion && nowMs - reconciledAtMs < RECONCILE_INTERVAL_MS;
    if (!owns() || !isIdle() || upToDate) {
      return Optional.empty();
    }
    reconciledInputVersion = inputVersion;
    reconciledAtMs = nowMs;
    RackRecord current = persisted.orElseThrow();
    RackRecord next = new RackReconciler(this, current, nowMs).next();
    return next.equals(current) ? Optional.empty() : Optional.of(startWrite(next));
  }

  private RackWrite startWrite(RackRecord next) {
    writeInFlight = true;
    releasing = releasedBy(next);
    return new RackWrite(rack, revision, next);
  }

  private Set<TaskRef> releasedBy(RackRecord next) {
    Set<TaskRef> released = new HashSet<>();
    persisted.ifPresent(r -> r.commitments().forEach(c -> released.add(c.ref())));
    next.commitments().forEach(c -> released.remove(c.ref()));
    return released;
  }

  /** Handles the result of the write in flight. */
  public void handleWriteResult(RackWrite write, WriteResult result, long nowMs) {
    writeInFlight = false;
    if (result instanceof WriteResult.Written written) {
      updateRecord(write.next(), written.revision(), nowMs);
      lastCheckpointMs = nowMs;
      discardStateOfReleased();
    } else {
      needsRead = true;
    }
  }

  private void discardStateOfReleased() {
    RackRecord record = persisted.orElseThrow();
    leases.retainCommitted(record);
    throttles.keySet().removeIf(ref -> record.commitment(ref).isEmpty());
  }

  /** Returns the control message to send to a worker now. */
  public WorkerCommands commandsFor(WorkerInfo worker, long nowMs) {
    RackRecord record = persisted.orElseThrow();
    long leaseUntilMs = Math.min(nowMs + policy.leaseMs(), record.renewalHorizonMs());
    return new WorkerCommandsBuilder(this, record, worker, leaseUntilMs, nowMs).build();
  }

  /** Records the leases that a control message grants; must be called before it is sent. */
  public void recordLeaseGrants(WorkerCommands commands) {
    commands.starts().forEach(s -> leases.recordGrant(s.ref(), commands.leaseUntilMs()));
    commands.renewals().forEach(ref -> leases.recordGrant(ref, commands.leaseUntilMs()));
  }

  /** Returns the status changes since a version; empty if there are none. */
  public Optional<RackStatus> statusSince(StatusVersion known, long nowMs) {
    RackRecord record = persisted.orElseThrow();
    List<CommitmentStatus> commitments = new ArrayList<>();
    for (Commitment commitment : record.commitments()) {
      commitments.add(
          new CommitmentStatus(commitment, reportOf(commitment).map(TaskReport::state)));
    }
    List<WorkerId> unreachable =
        observedWorkers.entrySet().stream()
            .filter(e -> e.getValue().isSilent(nowMs, policy.unreachableAfterMs()))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    statusChanges.update(commitments, record.releases(), unreachable);
    return statusChanges.since(rack, record.epoch(), known);
  }

  // The remaining methods expose the state to the reconciler and the commands builder.

  LeasePolicy policy() {
    return policy;
  }

  Optional<RackPlan> plan() {
    return plan;
  }

  VmListing listing() {
    return listing;
  }

  ZoneView zones() {
    return zones;
  }

  Map<TaskRef, Integer> throttles() {
    return throttles;
  }

  ObservedWorker observedWorker(WorkerId worker, long nowMs) {
    return observedWorkers.computeIfAbsent(worker, w -> new ObservedWorker(nowMs));
  }

  Optional<TaskReport> reportOf(Commitment commitment) {
    return Optional.ofNullable(observedWorkers.get(commitment.worker()))
        .flatMap(w -> w.taskReport(commitment));
  }

  boolean isStopRequested(TaskRef ref) {
    return plan.filter(p -> p.stops().contains(ref)).isPresent();
  }

  boolean isZoneOut(WorkerInfo worker) {
    return zones.zonesOut().contains(worker.zone());
  }

  boolean areZonesFresh(long nowMs) {
    return nowMs < zones.asOfMs() + policy.startValidityMs();
  }

  boolean areCheckpointsDue(long nowMs) {
    return nowMs - lastCheckpointMs > policy.checkpointIntervalMs();
  }

  /**
   * Returns whether a write that releases the incarnation is in flight; no command may start it or
   * renew its lease meanwhile.
   */
  boolean isReleasing(TaskRef ref) {
    return releasing.contains(ref);
  }

  Optional<Release> releaseOf(Commitment commitment, long nowMs) {
    return releaseRule.releaseOf(
        commitment, observedWorker(commitment.worker(), nowMs), listing, nowMs);
  }

  private static boolean isKnown(RackRecord record, TaskRef ref) {
    return record.commitment(ref).isPresent() || record.release(ref).isPresent();
  }
}
