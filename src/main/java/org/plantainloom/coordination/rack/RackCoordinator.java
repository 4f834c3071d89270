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
  private final SortedMap<RackId, RackController> controllers = new TreeMap<>();
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
    controllers.values().forEach(c -> c.updateVmList(newListing, nowMs));
  }

  /** Updates the view of the availability zones; an older one is ignored. */
  public void updateZones(ZoneView newZones) {
    zones = newZones.asOfMs() >= zones.asOfMs() ? newZones : zones;
    controllers.values().forEach(c -> c.updateZones(newZones));
  }

  /** Passes the planner's plan to the rack's controller; plans for racks not owned are ignored. */
  public void updatePlan(RackPlan plan) {
    Optional.ofNullable(controllers.get(plan.rack())).ifPresent(c -> c.acceptPlan(plan));
  }

  /** Returns the changes in the status of all owned racks since the versions the planner has. */
  public List<RackStatus> statusesSince(Map<RackId, StatusVersion> known, long nowMs) {
    List<RackStatus> changes = new ArrayList<>();
    for (RackController controller : controllers.values()) {
      if (controller.owns()) {
        StatusVersion knownVersion = known.getOrDefault(controller.rack(), StatusVersion.NONE);
        controller.statusSince(knownVersion, nowMs).ifPresent(changes::add);
      }
    }
    return changes;
  }

  /** Returns the owned racks. */
  public List<RackId> ownedRacks() {
    return controllers.values().stream()
        .filter(RackController::owns)
        .map(RackController::rack)
        .toList();
  }

  private void assign() {
    assignment = RackAssignment.assign(racks, view.schedulers());
    assignment.forEach(
        (rack, member) -> {
          if (member.equals(self)) {
            controllers.computeIfAbsent(rack, this::newController);
          }
        });
  }

  private RackController newController(RackId rack) {
    RackController controller = new RackController(rack, self, policy);
    controller.updateZones(zones);
    return controller;
  }

  /** Returns the actions to carry out now. */
  public List<RackAction> tick(long nowMs) {
    List<RackAction> actions = new ArrayList<>();
    boolean rereadDue = nowMs - lastRereadMs > REREAD_INTERVAL_MS;
    lastRereadMs = rereadDue ? nowMs : lastRereadMs;
    boolean needsZones = false;
    for (RackController controller : List.copyOf(controllers.values())) {
      controller.requestReadIfUnconfirmed(nowMs);
      if (controller.needsRead()) {
        requestRead(controller, nowMs, actions);
      }
      if (controller.owns()) {
        advance(controller, nowMs, actions);
        needsZones |= controller.needsZones(nowMs);
      } else if (!self.equals(assignment.get(controller.rack()))) {
        controllers.remove(controller.rack());
        handOverWaits.remove(controller.rack());
      } else if (controller.isIdle()) {
        claimOrWait(controller, rereadDue, nowMs, actions);
      }
    }
    if (needsZones) {
      actions.add(new RackAction.RefreshZones());
    }
    return actions;
  }

  private void requestRead(RackController controller, long nowMs, List<RackAction> actions) {
    boolean due = nowMs >= readNotBeforeMs.getOrDefault(controller.rack(), 0L);
    if (due && readsInFlight.add(controller.rack())) {
      actions.add(new RackAction.ReadRecord(controller.rack()));
    }
  }

  // An owner that is alive but does not know that it owns the rack would never hand it over, so the
  // wait is bounded.
  private HandOverWait handOverWaitFor(RackController controller, long nowMs) {
    HandOverWait known = handOverWaits.get(controller.rack());
    if (known == null || known.epoch() != controller.epoch()) {
      known = new HandOverWait(controller.epoch(), nowMs);
      handOverWaits.put(controller.rack(), known);
    }
    return known;
  }

  private record HandOverWait(long epoch, long sinceMs) {}

  private void claimOrWait(
      RackController controller, boolean rereadDue, long nowMs, List<RackAction> actions) {
    Optional<MemberId> currentOwner = controller.record().map(RackRecord::owner);
    HandOverWait handOverWait = handOverWaitFor(controller, nowMs);
    boolean overdue = nowMs - handOverWait.sinceMs() > HAND_OVER_TIMEOUT_MS;
    if (overdue
        || OwnershipDecision.decide(self, currentOwner, self, view) == OwnershipDecision.TAKE) {
      handOverWaits.remove(controller.rack());
      actions.add(new RackAction.WriteRecord(controller.claim()));
    } else if (rereadDue) {
      requestRead(controller, nowMs, actions);
    }
  }

  private void advance(RackController controller, long nowMs, List<RackAction> actions) {
    MemberId assigned = assignment.getOrDefault(controller.rack(), self);
    OwnershipDecision decision = OwnershipDecision.decide(self, Optional.of(self), assigned, view);
    if (decision == OwnershipDecision.HAND_OVER && controller.isIdle()) {
      actions.add(new RackAction.WriteRecord(controller.handOver(assigned)));
      return;
    }
    controller.nextWrite(nowMs).map(RackAction.WriteRecord::new).ifPresent(actions::add);
    for (WorkerInfo worker : workersByRack.getOrDefault(controller.rack(), List.of())) {
      sync(controller, worker, nowMs).ifPresent(actions::add);
    }
  }

  private Optional<RackAction> sync(RackController controller, WorkerInfo worker, long nowMs) {
    WorkerSyncSchedule syncSchedule =
        syncSchedules.computeIfAbsent(worker.id(), w -> new WorkerSyncSchedule());
    if (!syncSchedule.shouldBuildCommands(controller.inputVersion(), nowMs)) {
      return Optional.empty();
    }
    WorkerCommands commands = controller.commandsFor(worker, nowMs);
    if (!syncSchedule.shouldSend(commands, controller.inputVersion(), nowMs)) {
      return Optional.empty();
    }
    syncSchedule.recordSent(nowMs);
    controller.recordLeaseGrants(commands);
    return Optional.of(new RackAction.SyncWorker(controller.rack(), worker, commands));
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
    RackController controller = controllers.get(rack);
    if (controller == null || !answered) {
      return;
    }
    boolean wasOwned = controller.owns();
    if (record.isPresent()) {
      controller.updateRecord(record.get(), revision, nowMs);
    } else {
      controller.handleMissingRecord();
    }
    emitOwnershipChange(controller, wasOwned, nowMs);
  }

  /** Handles the result of writing a rack's record. */
  public void handleWriteResult(RackWrite write, WriteResult result, long nowMs) {
    RackController controller = controllers.get(write.rack());
    if (controller != null) {
      boolean wasOwned = controller.owns();
      controller.handleWriteResult(write, result, nowMs);
      emitOwnershipChange(controller, wasOwned, nowMs);
    }
  }

  private void emitOwnershipChange(RackController controller, boolean wasOwned, long nowMs) {
    if (controller.owns() && !wasOwned) {
      controller.updateVmList(listing, nowMs);
      emit(EventKind.RACK_ACQUIRED, controller.rack(), "epoch " + controller.epoch());
    } else if (!controller.owns() && wasOwned) {
      emit(EventKind.RACK_RELEASED, controller.rack(), "epoch " + controller.epoch());
    }
  }

  /** Handles a worker's report, or its failure to reply. */
  public void handleWorkerReply(
      RackId rack, WorkerInfo worker, Optional<WorkerReport> report, long nowMs) {
    RackController controller = controllers.get(rack);
    if (controller != null) {
      report.ifPresent(r -> controller.recordReport(r, nowMs));
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
