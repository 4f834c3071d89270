package org.plantainloom.support;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.plantainloom.coordination.membership.PlannerElection;
import org.plantainloom.coordination.plan.Planner;
import org.plantainloom.coordination.plan.PlannerPolicy;
import org.plantainloom.coordination.plan.TasksWrite;
import org.plantainloom.coordination.rack.LeasePolicy;
import org.plantainloom.coordination.rack.RackAction;
import org.plantainloom.coordination.rack.RackCoordinator;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.coordination.rack.RackWrite;
import org.plantainloom.coordination.rack.StatusVersion;
import org.plantainloom.coordination.rack.ZoneView;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.state.WriteResult;

/**
 * Scheduler process of a {@link CoordinationSimulation}: the production state machines, connected
 * to the store, the workers and each other by a {@link SimulatedNetwork}.
 */
public final class SimulatedScheduler {
  private static final long TICK_MS = 100;

  private final CoordinationSimulation simulation;
  private final MemberId id;
  private final RackCoordinator coordinator;
  private final Planner planner = new Planner(PlannerPolicy.standard());
  private final Set<RackId> reportedRacks = new TreeSet<>();
  private final Set<String> pendingExchanges = new TreeSet<>();
  private final Set<TeamId> pendingTaskReads = new TreeSet<>();
  private long planningEpoch;
  private long pausedUntilMs;
  private long lastHeartbeatMs;
  private boolean alive = true;
  private boolean storePartitioned;
  private boolean electionPending;
  private final Set<WorkerId> partitionedWorkers = new TreeSet<>();

  SimulatedScheduler(CoordinationSimulation simulation, String name) {
    this.simulation = simulation;
    this.id = new MemberId(name);
    this.coordinator = new RackCoordinator(id, LeasePolicy.standard());
    this.lastHeartbeatMs = simulation.nowMs();
    simulation.network().schedule(1, this::tick);
  }

  /** Returns the scheduler's member id. */
  public MemberId id() {
    return id;
  }

  /** Kills the process; it never runs again. */
  public void kill() {
    alive = false;
  }

  /** Suspends the process for a duration; pending work continues afterwards. */
  public void pause(long durationMs) {
    pausedUntilMs = simulation.nowMs() + durationMs;
  }

  /** Starts or ends a network partition between this process and the store. */
  public void setStorePartitioned(boolean partitioned) {
    storePartitioned = partitioned;
  }

  /** Starts a network partition between this process and a worker. */
  public void partitionFromWorker(WorkerId worker) {
    partitionedWorkers.add(worker);
  }

  /** Ends all network partitions and the current pause. */
  public void heal() {
    storePartitioned = false;
    partitionedWorkers.clear();
    pausedUntilMs = 0;
  }

  boolean isAlive() {
    return alive;
  }

  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  private boolean isPaused() {
    return simulation.nowMs() < pausedUntilMs;
  }

  /** Runs an action now, or after the current pause; never if the process was killed. */
  private void runUnlessPaused(Runnable action) {
    if (isPaused()) {
      simulation
          .network()
          .schedule(pausedUntilMs - simulation.nowMs() + 1, () -> runUnlessPaused(action));
    } else if (alive) {
      action.run();
    }
  }

  private <T> void call(Supplier<T> effect, T unanswered, Consumer<T> onReply) {
    simulation.network().call(effect, unanswered, v -> runUnlessPaused(() -> onReply.accept(v)));
  }

  private <T> void callStore(Supplier<T> effect, T unanswered, Consumer<T> onReply) {
    call(
        () -> {
          if (storePartitioned) {
            return null;
          }
          return simulation.rejectStoreCallIfDown() ? unanswered : effect.get();
        },
        unanswered,
        onReply);
  }

  private void tick() {
    if (!alive) {
      return;
    }
    runUnlessPaused(this::runOnce);
    simulation.network().schedule(TICK_MS, this::tick);
  }

  private void runOnce() {
    if (!storePartitioned && !simulation.isStoreDown()) {
      lastHeartbeatMs = simulation.nowMs();
      coordinator.updateMembership(simulation.membership());
      updatePlannerRole();
    }
    coordinator.updateVmList(simulation.vmList(), simulation.nowMs());
    executeRackActions();
    runPlanner();
  }

  private void updatePlannerRole() {
    Optional<PlannerRecord> record = simulation.planner();
    long revision = simulation.plannerRevision();
    if (!electionPending) {
      PlannerElection.next(id, false, simulation.membership(), record)
          .ifPresent(
              next -> {
                electionPending = true;
                callStore(
                    () -> simulation.compareAndSwap(Keys.PLANNER, revision, Json.write(next)),
                    new WriteResult.Unknown("lost"),
                    r -> electionPending = false);
              });
    }
    Optional<PlannerRecord> ownRecord = record.filter(p -> p.owner().equals(id));
    if (ownRecord.isPresent() && ownRecord.get().epoch() != planningEpoch) {
      planningEpoch = ownRecord.get().epoch();
      planner.startEpoch(planningEpoch);
      reportedRacks.clear();
      simulation.log(id, "PLANNER_ELECTED epoch " + planningEpoch);
    } else if (ownRecord.isEmpty()) {
      planningEpoch = 0;
    }
  }

  private void executeRackActions() {
    for (RackAction action : coordinator.tick(simulation.nowMs())) {
      if (action instanceof RackAction.ReadRecord read) {
        readRecord(read.rack());
      } else if (action instanceof RackAction.WriteRecord write) {
        writeRecord(write.write());
      } else if (action instanceof RackAction.SyncWorker sync) {
        syncWorker(sync);
      } else {
        refreshZones();
      }
    }
    coordinator.drainEvents().forEach(e -> simulation.log(id, e));
  }

  private void readRecord(RackId rack) {
    callStore(
        () -> simulation.read(Keys.rack(rack)),
        new ReadResult.Unavailable("lost"),
        result -> {
          Optional<RackRecord> record = Optional.empty();
          long revision = 0;
          if (result instanceof ReadResult.Found found) {
            record = Optional.of(Json.read(found.value(), RackRecord.class));
            revision = found.revision();
          }
          boolean answered = !(result instanceof ReadResult.Unavailable);
          coordinator.handleRecordRead(rack, record, revision, answered, simulation.nowMs());
        });
  }

  private void writeRecord(RackWrite write) {
    callStore(
        () ->
            simulation.compareAndSwap(
                Keys.rack(write.rack()), write.expectedRevision(), Json.write(write.next())),
        new WriteResult.Unknown("lost"),
        result -> {
          coordinator.handleWriteResult(write, result, simulation.nowMs());
          executeRackActions();
        });
  }

  private void syncWorker(RackAction.SyncWorker sync) {
    call(
        () ->
            partitionedWorkers.contains(sync.worker().id())
                ? null
                : simulation.deliver(sync.worker(), sync.commands()),
        Optional.<WorkerReport>empty(),
        report ->
            coordinator.handleWorkerReply(sync.rack(), sync.worker(), report, simulation.nowMs()));
  }

  private void refreshZones() {
    long sentMs = simulation.nowMs();
    callStore(
        () -> Optional.of(simulation.index()),
        Optional.<ConfigIndex>empty(),
        index -> index.ifPresent(i -> coordinator.updateZones(new ZoneView(sentMs, i.zonesOut()))));
  }

  private void runPlanner() {
    if (planningEpoch == 0) {
      return;
    }
    planner.updateVmList(simulation.vmList());
    if (!storePartitioned && !simulation.isStoreDown()) {
      planner.updateIndex(simulation.index());
      simulation.configs().forEach(planner::updateConfig);
      simulation.jobs().forEach(j -> planner.updateJobs(j, simulation.jobsRevision()));
    }
    planner.teamsToRead().forEach(this::readTasks);
    planner.nextWrites(simulation.nowMs()).forEach(this::writeTasks);
    planner.drainEvents().forEach(e -> simulation.log(id, e));
    simulation.schedulers().forEach(this::exchange);
  }

  private void readTasks(TeamId team) {
    if (!pendingTaskReads.add(team)) {
      return;
    }
    callStore(
        () -> simulation.read(Keys.tasks(team)),
        new ReadResult.Unavailable("lost"),
        result -> {
          pendingTaskReads.remove(team);
          if (result instanceof ReadResult.Found found) {
            planner.updateTasks(Json.read(found.value(), TasksDocument.class), found.revision());
          } else if (result instanceof ReadResult.Absent) {
            planner.updateTasks(TasksDocument.empty(team), 0);
          }
        });
  }

  private void writeTasks(TasksWrite write) {
    callStore(
        () ->
            simulation.compareAndSwap(
                Keys.tasks(write.team()), write.expectedRevision(), Json.write(write.next())),
        new WriteResult.Unknown("lost"),
        result -> planner.handleWriteResult(write, result));
  }

  private void exchange(SimulatedScheduler target) {
    String key = target.id.value();
    if (!pendingExchanges.add(key)) {
      return;
    }
    List<RackPlan> plans = planner.plansFor(reportedRacks);
    Map<RackId, StatusVersion> known = planner.statusVersions(reportedRacks);
    long epoch = planningEpoch;
    call(
        () -> target.handlePlans(plans, known),
        List.<RackStatus>of(),
        statuses -> {
          pendingExchanges.remove(key);
          if (planningEpoch == epoch) {
            statuses.forEach(planner::updateStatus);
            statuses.forEach(s -> reportedRacks.add(s.rack()));
          }
        });
  }

  private List<RackStatus> handlePlans(List<RackPlan> plans, Map<RackId, StatusVersion> known) {
    if (!alive || isPaused()) {
      return null;
    }
    plans.forEach(coordinator::updatePlan);
    executeRackActions();
    return coordinator.statusesSince(known, simulation.nowMs());
  }
}
