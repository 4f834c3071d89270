package org.plantainloom.coordination.rack;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.membership.OwnershipDecision;
import org.plantainloom.coordination.membership.RackAssignment;
import org.plantainloom.coordination.timeline.DecisionEvent;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.state.WriteResult;

/**
 * Decides what one scheduler does for all racks: which records it claims, hands over or updates,
 * and which workers it sends control messages.
 *
 * <p>Each tick returns the actions to carry out; their results come back through the {@code handle}
 * methods.
 */
public final class RackCoordinator {
  private static final long REREAD_INTERVAL_MS = 500;
  private static final long READ_RETRY_DELAY_MS = 1_000;
  private static final long HAND_OVER_TIMEOUT_MS = 5_000;

  private final MemberId self;
  private final LeasePolicy policy;
  private final SortedMap<RackId, RackOwner> owners = new TreeMap<>();
  private final SortedSet<RackId> racks = new TreeSet<>();
  private final Map<RackId, Long> readNotBeforeMs = new HashMap<>();
  private final Map<RackId, HandOverWait> handOverWaits = new HashMap<>();
  private final Set<RackId> readsInFlight = new TreeSet<>();
  private final Map<WorkerId, WorkerSyncSchedule> syncSchedules = new HashMap<>();
  private final List<DecisionEvent> events = new ArrayList<>();
  private SortedMap<RackId, MemberId> assignment = new TreeMap<>();
  private SortedMap<RackId, List<WorkerInfo>> workersByRack = new TreeMap<>();
  private MembershipView view = new MembershipView(List.of());
  private VmListing listing = VmListing.empty();
  private ZoneView zones = new ZoneView(0, Set.of());
  private long lastRereadMs;

  /** Creates a coordinator that owns no rack. */
  public RackCoordinator(MemberId self, LeasePolicy policy) {
    this.self = self;
    this.policy = policy;
  }

  /** Updates the view of the members. */
  public void updateMembership(MembershipView newView) {
    boolean unchanged = newView.schedulers().equals(view.schedulers());
    view = newView;
    if (!unchanged) {
      assign();
    }
  }

  /** Updates the listing of the VMs. */
  public void updateVmList(VmListing newListing, long nowMs) {
    listing = newListing;
    workersByRack = new TreeMap<>();
    boolean rackAdded = false;
    for (WorkerInfo worker : newListing.workers()) {
      rackAdded |= racks.add(worker.rack());
      workersByRack.computeIfAbsent(worker.rack(), r -> new ArrayList<>()).add(worker);
    }
    if (rackAdded) {
      assign();
    }
    owners.values().forEach(o -> o.updateVmList(newListing, nowMs));
  }

  /** Updates the view of the availability zones; an older one is ignored. */
  public void updateZones(ZoneView newZones) {
    zones = newZones.asOfMs() >= zones.asOfMs() ? newZones : zones;
    owners.values().forEach(o -> o.updateZones(newZones));
  }

  /** Passes the planner's plan to the rack's owner; plans for racks not owned are ignored. */
  public void updatePlan(RackPlan plan) {
    Optional.ofNullable(owners.get(plan.rack())).ifPresent(o -> o.acceptPlan(plan));
  }

  /** Returns the changes in the status of all owned racks since the versions the planner has. */
  public List<RackStatus> statusesSince(Map<RackId, StatusVersion> known, long nowMs) {
    List<RackStatus> changes = new ArrayList<>();
    for (RackOwner owner : owners.values()) {
      if (owner.owns()) {
        StatusVersion knownVersion = known.getOrDefault(owner.rack(), StatusVersion.NONE);
        owner.statusSince(knownVersion, nowMs).ifPresent(changes::add);
      }
    }
    return changes;
  }

  /** Returns the owned racks. */
  public List<RackId> ownedRacks() {
    return owners.values().stream().filter(RackOwner::owns).map(RackOwner::rack).toList();
  }

  private void assign() {
    assignment = RackAssignment.assign(racks, view.schedulers());
    assignment.forEach(
        (rack, member) -> {
          if (member.equals(self)) {
            owners.computeIfAbsent(rack, this::newOwner);
          }
        });
  }

  private RackOwner newOwner(RackId rack) {
    RackOwner owner = new RackOwner(rack, self, policy);
    owner.updateZones(zones);
    return owner;
  }

  /** Returns the actions to carry out now. */
  public List<RackAction> tick(long nowMs) {
    List<RackAction> actions = new ArrayList<>();
    boolean rereadDue = nowMs - lastRereadMs > REREAD_INTERVAL_MS;
    lastRereadMs = rereadDue ? nowMs : lastRereadMs;
    boolean needsZones = false;
    for (RackOwner owner : List.copyOf(owners.values())) {
      owner.requestReadIfUnconfirmed(nowMs);
      if (owner.needsRead()) {
        requestRead(owner, nowMs, actions);
      }
      if (owner.owns()) {
        advance(owner, nowMs, actions);
        needsZones |= owner.needsZones(nowMs);
      } else if (!self.equals(assignment.get(owner.rack()))) {
        owners.remove(owner.rack());
        handOverWaits.remove(owner.rack());
      } else if (owner.isIdle()) {
        claimOrWait(owner, rereadDue, nowMs, actions);
      }
    }
    if (needsZones) {
      actions.add(new RackAction.RefreshZones());
    }
    return actions;
  }

  private void requestRead(RackOwner owner, long nowMs, List<RackAction> actions) {
    boolean due = nowMs >= readNotBeforeMs.getOrDefault(owner.rack(), 0L);
    if (due && readsInFlight.add(owner.rack())) {
      actions.add(new RackAction.ReadRecord(owner.rack()));
    }
  }

  // An owner that is alive but does not know that it owns the rack would never hand it over, so the
  // wait is bounded.
  private HandOverWait handOverWaitFor(RackOwner owner, long nowMs) {
    HandOverWait known = handOverWaits.get(owner.rack());
    if (known == null || known.epoch() != owner.epoch()) {
      known = new HandOverWait(owner.epoch(), nowMs);
      handOverWaits.put(owner.rack(), known);
    }
    return known;
  }

  private record HandOverWait(long epoch, long sinceMs) {}

  private void claimOrWait(
      RackOwner owner, boolean rereadDue, long nowMs, List<RackAction> actions) {
    Optional<MemberId> currentOwner = owner.record().map(RackRecord::owner);
    HandOverWait handOverWait = handOverWaitFor(owner, nowMs);
    boolean overdue = nowMs - handOverWait.sinceMs() > HAND_OVER_TIMEOUT_MS;
    if (overdue
        || OwnershipDecision.decide(self, currentOwner, self, view) == OwnershipDecision.TAKE) {
      handOverWaits.remove(owner.rack());
      actions.add(new RackAction.WriteRecord(owner.claim()));
    } else if (rereadDue) {
      requestRead(owner, nowMs, actions);
    }
  }

  private void advance(RackOwner owner, long nowMs, List<RackAction> actions) {
    MemberId assigned = assignment.getOrDefault(owner.rack(), self);
    OwnershipDecision decision = OwnershipDecision.decide(self, Optional.of(self), assigned, view);
    if (decision == OwnershipDecision.HAND_OVER && owner.isIdle()) {
      actions.add(new RackAction.WriteRecord(owner.handOver(assigned)));
      return;
    }
    owner.nextWrite(nowMs).map(RackAction.WriteRecord::new).ifPresent(actions::add);
    for (WorkerInfo worker : workersByRack.getOrDefault(owner.rack(), List.of())) {
      sync(owner, worker, nowMs).ifPresent(actions::add);
    }
  }

  private Optional<RackAction> sync(RackOwner owner, WorkerInfo worker, long nowMs) {
    WorkerSyncSchedule syncSchedule =
        syncSchedules.computeIfAbsent(worker.id(), w -> new WorkerSyncSchedule());
    if (!syncSchedule.shouldBuildCommands(owner.inputVersion(), nowMs)) {
      return Optional.empty();
    }
    WorkerCommands commands = owner.commandsFor(worker, nowMs);
    if (!syncSchedule.shouldSend(commands, owner.inputVersion(), nowMs)) {
      return Optional.empty();
    }
    syncSchedule.recordSent(nowMs);
    owner.recordLeaseGrants(commands);
    return Optional.of(new RackAction.SyncWorker(owner.rack(), worker, commands));
  }

  /**
   * Handles the result of reading a rack's record; the record is empty if there is none or the
   * store did not answer.
   */
  public void handleRecordRead(
      RackId rack, Optional<RackRecord> record, long revision, boolean answered, long nowMs) {
    readsInFlight.remove(rack);
    // Without the delay, a store that fails fast would be read in a tight loop for every rack.
    readNotBeforeMs.put(rack, answered ? 0L : nowMs + READ_RETRY_DELAY_MS);
    RackOwner owner = owners.get(rack);
    if (owner == null || !answered) {
      return;
    }
    boolean wasOwned = owner.owns();
    if (record.isPresent()) {
      owner.updateRecord(record.get(), revision, nowMs);
    } else {
      owner.handleMissingRecord();
    }
    emitOwnershipChange(owner, wasOwned, nowMs);
  }

  /** Handles the result of writing a rack's record. */
  public void handleWriteResult(RackWrite write, WriteResult result, long nowMs) {
    RackOwner owner = owners.get(write.rack());
    if (owner != null) {
      boolean wasOwned = owner.owns();
      owner.handleWriteResult(write, result, nowMs);
      emitOwnershipChange(owner, wasOwned, nowMs);
    }
  }

  private void emitOwnershipChange(RackOwner owner, boolean wasOwned, long nowMs) {
    if (owner.owns() && !wasOwned) {
      owner.updateVmList(listing, nowMs);
      emit(EventKind.RACK_ACQUIRED, owner.rack(), "epoch " + owner.epoch());
    } else if (!owner.owns() && wasOwned) {
      emit(EventKind.RACK_RELEASED, owner.rack(), "epoch " + owner.epoch());
    }
  }

  /** Handles a worker's report, or its failure to reply. */
  public void handleWorkerReply(
      RackId rack, WorkerInfo worker, Optional<WorkerReport> report, long nowMs) {
    RackOwner owner = owners.get(rack);
    if (owner != null) {
      report.ifPresent(r -> owner.recordReport(r, nowMs));
    }
    WorkerSyncSchedule syncSchedule =
        syncSchedules.computeIfAbsent(worker.id(), w -> new WorkerSyncSchedule());
    if (syncSchedule.recordReply(report.isPresent())) {
      EventKind kind =
          report.isPresent() ? EventKind.WORKER_REACHABLE : EventKind.WORKER_UNREACHABLE;
      emit(kind, worker.id(), worker.address());
    }
  }

  private void emit(EventKind kind, Object subject, String detail) {
    events.add(new DecisionEvent(kind, subject.toString(), detail));
  }

  /** Returns and clears the events recorded since the last call. */
  public List<DecisionEvent> drainEvents() {
    List<DecisionEvent> drained = List.copyOf(events);
    events.clear();
    return drained;
  }
}
