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
 * Decides what one scheduler does for all racks: which to take, hand over, commit and sync.
 *
 * <p>Each tick returns the actions to carry out; their results come back through the methods named
 * for them.
 */
public final class RackCoordinator {
  private static final long REREAD_MS = 500;
  private static final long READ_RETRY_MS = 1_000;
  private static final long HAND_OVER_LIMIT_MS = 5_000;

  private final MemberId self;
  private final LeasePolicy policy;
  private final SortedMap<RackId, RackOwner> owners = new TreeMap<>();
  private final SortedSet<RackId> racks = new TreeSet<>();
  private final Map<RackId, Long> readNotBeforeMs = new HashMap<>();
  private final Map<RackId, Waiting> waitings = new HashMap<>();
  private final Set<RackId> reading = new TreeSet<>();
  private final Map<WorkerId, WorkerPace> paces = new HashMap<>();
  private final List<DecisionEvent> events = new ArrayList<>();
  private SortedMap<RackId, MemberId> assignment = new TreeMap<>();
  private SortedMap<RackId, List<WorkerInfo>> workersByRack = new TreeMap<>();
  private MembershipView view = new MembershipView(List.of());
  private VmListing listing = VmListing.empty();
  private ZoneView zones = new ZoneView(0, Set.of());
  private long lastRereadMs;

  /** Creates a keeper that owns nothing yet. */
  public RackCoordinator(MemberId self, LeasePolicy policy) {
    this.self = self;
    this.policy = policy;
  }

  /** Takes a new view of the members. */
  public void updateMembership(MembershipView newView) {
    boolean same = newView.schedulers().equals(view.schedulers());
    view = newView;
    if (!same) {
      assign();
    }
  }

  /** Takes a new listing of the VMs. */
  public void updateVmList(VmListing newListing, long nowMs) {
    listing = newListing;
    workersByRack = new TreeMap<>();
    boolean grown = false;
    for (WorkerInfo worker : newListing.workers()) {
      grown |= racks.add(worker.rack());
      workersByRack.computeIfAbsent(worker.rack(), r -> new ArrayList<>()).add(worker);
    }
    if (grown) {
      assign();
    }
    owners.values().forEach(o -> o.updateVmList(newListing, nowMs));
  }

  /** Takes a new view of the zones. */
  public void updateZones(ZoneView newZones) {
    zones = newZones.asOfMs() >= zones.asOfMs() ? newZones : zones;
    owners.values().forEach(o -> o.updateZones(newZones));
  }

  /** Takes the planner's plan for a rack; plans for racks not owned are ignored. */
  public void updatePlan(RackPlan plan) {
    Optional.ofNullable(owners.get(plan.rack())).ifPresent(o -> o.acceptPlan(plan));
  }

  /** Returns the status of all racks owned, as far as it is new to a planner that knows so much. */
  public List<RackStatus> statusesSince(Map<RackId, StatusVersion> known, long nowMs) {
    List<RackStatus> news = new ArrayList<>();
    for (RackOwner owner : owners.values()) {
      if (owner.owns()) {
        StatusVersion knownHere = known.getOrDefault(owner.rack(), StatusVersion.NONE);
        owner.statusSince(knownHere, nowMs).ifPresent(news::add);
      }
    }
    return news;
  }

  /** Returns the racks owned. */
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

  /** Returns what has to be done now. */
  public List<RackAction> tick(long nowMs) {
    List<RackAction> actions = new ArrayList<>();
    boolean rereadDue = nowMs - lastRereadMs > REREAD_MS;
    lastRereadMs = rereadDue ? nowMs : lastRereadMs;
    boolean zonesNeeded = false;
    for (RackOwner owner : List.copyOf(owners.values())) {
      owner.confirmIfDue(nowMs);
      if (owner.needsRead()) {
        read(owner, nowMs, actions);
      }
      if (owner.owns()) {
        step(owner, nowMs, actions);
        zonesNeeded |= owner.needsZones(nowMs);
      } else if (!self.equals(assignment.get(owner.rack()))) {
        owners.remove(owner.rack());
        waitings.remove(owner.rack());
      } else if (owner.isIdle()) {
        claimOrWait(owner, rereadDue, nowMs, actions);
      }
    }
    if (zonesNeeded) {
      actions.add(new RackAction.RefreshZones());
    }
    return actions;
  }

  private void read(RackOwner owner, long nowMs, List<RackAction> actions) {
    boolean due = nowMs >= readNotBeforeMs.getOrDefault(owner.rack(), 0L);
    if (due && reading.add(owner.rack())) {
      actions.add(new RackAction.ReadRecord(owner.rack()));
    }
  }

  // A holder that is alive but does not know that it holds the rack would never hand it over.
  private Waiting waitingFor(RackOwner owner, long nowMs) {
    Waiting known = waitings.get(owner.rack());
    if (known == null || known.epoch() != owner.epoch()) {
      known = new Waiting(owner.epoch(), nowMs);
      waitings.put(owner.rack(), known);
    }
    return known;
  }

  private record Waiting(long epoch, long sinceMs) {}

  private void claimOrWait(
      RackOwner owner, boolean rereadDue, long nowMs, List<RackAction> actions) {
    Optional<MemberId> holder = owner.record().map(RackRecord::owner);
    Waiting waiting = waitingFor(owner, nowMs);
    boolean overdue = nowMs - waiting.sinceMs() > HAND_OVER_LIMIT_MS;
    if (overdue || OwnershipDecision.decide(self, holder, self, view) == OwnershipDecision.TAKE) {
      waitings.remove(owner.rack());
      actions.add(new RackAction.WriteRecord(owner.claim()));
    } else if (rereadDue) {
      read(owner, nowMs, actions);
    }
  }

  private void step(RackOwner owner, long nowMs, List<RackAction> actions) {
    MemberId assigned = assignment.getOrDefault(owner.rack(), self);
    OwnershipDecision succession =
        OwnershipDecision.decide(self, Optional.of(self), assigned, view);
    if (succession == OwnershipDecision.HAND_OVER && owner.isIdle()) {
      actions.add(new RackAction.WriteRecord(owner.handOver(assigned)));
      return;
    }
    owner.nextWrite(nowMs).map(RackAction.WriteRecord::new).ifPresent(actions::add);
    for (WorkerInfo worker : workersByRack.getOrDefault(owner.rack(), List.of())) {
      sync(owner, worker, nowMs).ifPresent(actions::add);
    }
  }

  private Optional<RackAction> sync(RackOwner owner, WorkerInfo worker, long nowMs) {
    WorkerPace pace = paces.computeIfAbsent(worker.id(), w -> new WorkerPace());
    if (!pace.mayAsk(owner.stirs(), nowMs)) {
      return Optional.empty();
    }
    WorkerCommands commands = owner.commandsFor(worker, nowMs);
    if (!pace.isDue(commands, owner.stirs(), nowMs)) {
      return Optional.empty();
    }
    pace.sent(nowMs);
    owner.recordLeaseGrants(commands);
    return Optional.of(new RackAction.SyncWorker(owner.rack(), worker, commands));
  }

  /** Takes the store's answer to a read; empty if it did not answer. */
  public void handleRecordRead(
      RackId rack, Optional<RackRecord> record, long revision, boolean answered, long nowMs) {
    reading.remove(rack);
    // A store that refuses quickly must not be asked in a tight loop by every owner of every rack.
    readNotBeforeMs.put(rack, answered ? 0L : nowMs + READ_RETRY_MS);
    RackOwner owner = owners.get(rack);
    if (owner == null || !answered) {
      return;
    }
    boolean owned = owner.owns();
    if (record.isPresent()) {
      owner.updateRecord(record.get(), revision, nowMs);
    } else {
      owner.handleMissingRecord();
    }
    noteOwnership(owner, owned, nowMs);
  }

  /** Takes the store's answer to a write. */
  public void handleWriteResult(RackWrite write, WriteResult result, long nowMs) {
    RackOwner owner = owners.get(write.rack());
    if (owner != null) {
      boolean owned = owner.owns();
      owner.handleWriteResult(write, result, nowMs);
      noteOwnership(owner, owned, nowMs);
    }
  }

  private void noteOwnership(RackOwner owner, boolean before, long nowMs) {
    if (owner.owns() && !before) {
      owner.updateVmList(listing, nowMs);
      emit(EventKind.RACK_ACQUIRED, owner.rack(), "epoch " + owner.epoch());
    } else if (!owner.owns() && before) {
      emit(EventKind.RACK_RELEASED, owner.rack(), "epoch " + owner.epoch());
    }
  }

  /** Takes a worker's answer, or its absence. */
  public void handleWorkerReply(
      RackId rack, WorkerInfo worker, Optional<WorkerReport> report, long nowMs) {
    RackOwner owner = owners.get(rack);
    if (owner != null) {
      report.ifPresent(r -> owner.updateReport(r, nowMs));
    }
    WorkerPace pace = paces.computeIfAbsent(worker.id(), w -> new WorkerPace());
    if (pace.answered(report.isPresent())) {
      EventKind kind =
          report.isPresent() ? EventKind.WORKER_REACHABLE : EventKind.WORKER_UNREACHABLE;
      emit(kind, worker.id(), worker.address());
    }
  }

  private void emit(EventKind kind, Object subject, String detail) {
    events.add(new DecisionEvent(kind, subject.toString(), detail));
  }

  /** Returns the events since the last call and forgets them. */
  public List<DecisionEvent> drainEvents() {
    List<DecisionEvent> drained = List.copyOf(events);
    events.clear();
    return drained;
  }
}
