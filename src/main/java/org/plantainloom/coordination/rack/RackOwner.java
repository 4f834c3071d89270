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
 * Decides what one scheduler does for one rack.
 *
 * <p>The machine is level-triggered: it holds the persisted record, the planner's latest plan and
 * the workers' latest reports, and derives from them the next record to persist and the commands to
 * send. A lost or repeated message therefore needs no case of its own. Orders to workers are
 * derived from the persisted record only, so nothing starts that is not committed.
 */
public final class RackOwner {
  // Leases and silences end by time alone, without anything arriving.
  private static final long RECONCILE_MS = 500;

  private final RackId rack;
  private final MemberId self;
  private final LeasePolicy policy;
  private final Map<WorkerId, WorkerWatch> watches = new HashMap<>();
  private final Map<TaskRef, Integer> throttles = new TreeMap<>();
  private final LeaseLedger leases;
  private final ReleaseRule releaseRule;
  private final StatusPublisher publisher = new StatusPublisher();

  private Optional<RackRecord> persisted = Optional.empty();
  private long revision;
  private boolean writeInFlight;
  private boolean needsRead = true;
  private Optional<RackPlan> plan = Optional.empty();
  private VmListing listing = VmListing.empty();
  private ZoneView zones = new ZoneView(0, Set.of());
  private long lastCheckpointMs;
  private long stirs;
  private long reconciledStirs = -1;
  private long reconciledAtMs;
  private long confirmedAtMs;
  private Set<TaskRef> releasing = Set.of();

  /** Creates the machine; it owns nothing until the record was read or claimed. */
  public RackOwner(RackId rack, MemberId self, LeasePolicy policy) {
    this.rack = rack;
    this.self = self;
    this.policy = policy;
    this.leases = new LeaseLedger(policy);
    this.releaseRule = new ReleaseRule(policy, leases);
  }

  /** Returns the rack that is looked after. */
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
   * Asks for a read of the record if it was not confirmed for a while.
   *
   * <p>An owner that was paused while others took the rack over would otherwise not find out as
   * long as it has nothing to write.
   */
  public void confirmIfDue(long nowMs) {
    if (owns() && nowMs - confirmedAtMs > policy.confirmIntervalMs()) {
      needsRead = true;
    }
  }

  /** Returns whether the record has to be read before anything else can be decided. */
  public boolean needsRead() {
    return needsRead && !writeInFlight;
  }

  /** Takes the record as it stands in the store. */
  public void updateRecord(RackRecord record, long newRevision, long nowMs) {
    if (newRevision < revision) {
      return;
    }
    boolean wasOwner = owns() && epoch() == record.epoch();
    persisted = Optional.of(record);
    revision = newRevision;
    needsRead = false;
    releasing = Set.of();
    stirs++;
    if (!wasOwner) {
      forgetVolatileState(record);
    }
    confirmedAtMs = nowMs;
  }

  /** Takes note that the rack has no record yet. */
  public void handleMissingRecord() {
    persisted = Optional.empty();
    revision = 0;
    needsRead = false;
  }

  private void forgetVolatileState(RackRecord record) {
    plan = Optional.empty();
    watches.clear();
    throttles.clear();
    leases.reset(record);
    publisher.reset();
  }

  /** Returns the record that makes this scheduler the owner, to be written next. */
  public RackWrite claim() {
    requireIdle();
    RackRecord next = persisted.map(r -> r.ownedBy(self)).orElse(RackRecord.empty(rack, self));
    return startWrite(next);
  }

  /** Returns the record that makes another scheduler the owner, to be written next. */
  public RackWrite handOver(MemberId successor) {
    requireIdle();
    RackRecord held = persisted.orElseThrow();
    return startWrite(held.ownedBy(successor));
  }

  /** Returns whether a write may be started. */
  public boolean isIdle() {
    return !writeInFlight && !needsRead;
  }

  private void requireIdle() {
    if (!isIdle()) {
      throw new IllegalStateException("rack " + rack + ": a write or read is outstanding");
    }
  }

  /** Takes the planner's newest plan; returns whether it was taken. */
  public boolean acceptPlan(RackPlan received) {
    if (received.rackEpoch() > epoch()) {
      needsRead = true;
    }
    if (!owns() || received.rackEpoch() != epoch()) {
      return false;
    }
    long knownPlanner =
        Math.max(
            persisted.orElseThrow().plannerEpoch(), plan.map(RackPlan::plannerEpoch).orElse(0L));
    if (received.plannerEpoch() < knownPlanner) {
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
    stirs++;
    return true;
  }

  /** Takes a worker's report. */
  public void updateReport(WorkerReport report, long nowMs) {
    watch(report.worker(), nowMs).reported(report, epoch(), nowMs);
    stirs++;
    if (report.fencingEpoch() > epoch()) {
      needsRead = true;
    }
  }

  /** Takes the newest listing of VMs; older ones are ignored. */
  public void updateVmList(VmListing newListing, long nowMs) {
    if (newListing.asOfMs() < listing.asOfMs()) {
      return;
    }
    listing = newListing;
    for (WorkerId worker : committedWorkers()) {
      watch(worker, nowMs).listed(listing.worker(worker).isPresent(), nowMs);
    }
  }

  private Set<WorkerId> committedWorkers() {
    Set<WorkerId> workers = new TreeSet<>();
    persisted.ifPresent(r -> r.commitments().forEach(c -> workers.add(c.worker())));
    return workers;
  }

  /** Takes the newest view of the zones; older ones are ignored. */
  public void updateZones(ZoneView newZones) {
    if (newZones.asOfMs() >= zones.asOfMs()) {
      zones = newZones;
      stirs++;
    }
  }

  /** Sets how far a batch task is slowed down. */
  public void throttle(TaskRef ref, int percent) {
    throttles.put(ref, percent);
  }

  /** Returns whether a fresher view of the zones is needed to commit or start something. */
  public boolean needsZones(long nowMs) {
    boolean stale = nowMs - zones.asOfMs() > policy.startValidityMs() / 2;
    return stale && owns() && (hasNewBindings() || hasUnstarted());
  }

  private boolean hasNewBindings() {
    RackRecord record = persisted.orElseThrow();
    return plan.stream()
        .flatMap(p -> p.bindings().stream())
        .anyMatch(b -> !isKnown(record, b.ref()));
  }

  private boolean hasUnstarted() {
    return persisted.orElseThrow().commitments().stream()
        .anyMatch(c -> reportOf(c).isEmpty() && !isStopRequested(c.ref()));
  }

  /** Returns a number that grows whenever something arrives that may call for a message. */
  long stirs() {
    return stirs;
  }

  /** Returns the next record to persist, if it differs from the persisted one. */
  public Optional<RackWrite> nextWrite(long nowMs) {
    boolean quiet = stirs == reconciledStirs && nowMs - reconciledAtMs < RECONCILE_MS;
    if (!owns() || !isIdle() || quiet) {
      return Optional.empty();
    }
    reconciledStirs = stirs;
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
    Set<TaskRef> dropped = new HashSet<>();
    persisted.ifPresent(r -> r.commitments().forEach(c -> dropped.add(c.ref())));
    next.commitments().forEach(c -> dropped.remove(c.ref()));
    return dropped;
  }

  /** Takes the store's answer to the write in flight. */
  public void handleWriteResult(RackWrite write, WriteResult result, long nowMs) {
    writeInFlight = false;
    if (result instanceof WriteResult.Written written) {
      updateRecord(write.next(), written.revision(), nowMs);
      lastCheckpointMs = nowMs;
      forgetReleased();
    } else {
      needsRead = true;
    }
  }

  private void forgetReleased() {
    RackRecord record = persisted.orElseThrow();
    leases.retain(record);
    throttles.keySet().removeIf(ref -> record.commitment(ref).isEmpty());
  }

  /** Returns what to tell a worker now. */
  public WorkerCommands commandsFor(WorkerInfo worker, long nowMs) {
    RackRecord record = persisted.orElseThrow();
    long leaseUntilMs = Math.min(nowMs + policy.leaseMs(), record.renewalHorizonMs());
    return new CommandBuilder(this, record, worker, leaseUntilMs, nowMs).build();
  }

  /** Takes account of the leases that a message grants; called before it is sent. */
  public void recordLeaseGrants(WorkerCommands commands) {
    commands.starts().forEach(s -> leases.granted(s.ref(), commands.leaseUntilMs()));
    commands.renewals().forEach(ref -> leases.granted(ref, commands.leaseUntilMs()));
  }

  /** Returns what is new to a planner that knows that much; empty if nothing is. */
  public Optional<RackStatus> statusSince(StatusVersion known, long nowMs) {
    RackRecord record = persisted.orElseThrow();
    List<CommitmentStatus> commitments = new ArrayList<>();
    for (Commitment commitment : record.commitments()) {
      commitments.add(
          new CommitmentStatus(commitment, reportOf(commitment).map(TaskReport::state)));
    }
    List<WorkerId> unreachable =
        watches.entrySet().stream()
            .filter(e -> e.getValue().isSilent(nowMs, policy.unreachableAfterMs()))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    publisher.update(commitments, record.releases(), unreachable);
    return publisher.since(rack, record.epoch(), known);
  }

  // The remaining methods are the view that the reconciler and the command builder work on.

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

  WorkerWatch watch(WorkerId worker, long nowMs) {
    return watches.computeIfAbsent(worker, w -> new WorkerWatch(nowMs));
  }

  Optional<TaskReport> reportOf(Commitment commitment) {
    return Optional.ofNullable(watches.get(commitment.worker())).flatMap(w -> w.task(commitment));
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

  /** Returns whether a write that ends the incarnation is under way, so no order may revive it. */
  boolean isReleasing(TaskRef ref) {
    return releasing.contains(ref);
  }

  Optional<Release> releaseOf(Commitment commitment, long nowMs) {
    return releaseRule.releaseOf(commitment, watch(commitment.worker(), nowMs), listing, nowMs);
  }

  private static boolean isKnown(RackRecord record, TaskRef ref) {
    return record.commitment(ref).isPresent() || record.release(ref).isPresent();
  }
}
