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

/** One scheduler of a session: the real state machines, driven by virtual messages. */
public final class SimulatedScheduler {
  private static final long TICK_MS = 100;

  private final CoordinationSimulation session;
  private final MemberId id;
  private final RackCoordinator keeper;
  private final Planner planner = new Planner(PlannerPolicy.standard());
  private final Set<RackId> heardOf = new TreeSet<>();
  private final Set<String> exchanging = new TreeSet<>();
  private final Set<TeamId> readingTasks = new TreeSet<>();
  private long planningEpoch;
  private long pausedUntilMs;
  private long lastBeatMs;
  private boolean alive = true;
  private boolean storeCut;
  private boolean electing;
  private final Set<WorkerId> cutWorkers = new TreeSet<>();

  SimulatedScheduler(CoordinationSimulation session, String name) {
    this.session = session;
    this.id = new MemberId(name);
    this.keeper = new RackCoordinator(id, LeasePolicy.standard());
    this.lastBeatMs = session.nowMs();
    session.messages().schedule(1, this::tick);
  }

  /** Returns the scheduler's name. */
  public MemberId id() {
    return id;
  }

  /** Ends the process at once. */
  public void kill() {
    alive = false;
  }

  /** Stops the process for a while; what it was doing goes on afterwards. */
  public void pause(long ms) {
    pausedUntilMs = session.nowMs() + ms;
  }

  /** Cuts the process off from the store, or heals the cut. */
  public void setStorePartitioned(boolean cut) {
    storeCut = cut;
  }

  /** Cuts the process off from a worker. */
  public void partitionFromWorker(WorkerId worker) {
    cutWorkers.add(worker);
  }

  /** Heals all cuts and pauses. */
  public void heal() {
    storeCut = false;
    cutWorkers.clear();
    pausedUntilMs = 0;
  }

  boolean isAlive() {
    return alive;
  }

  long lastHeartbeatMs() {
    return lastBeatMs;
  }

  private boolean isPaused() {
    return session.nowMs() < pausedUntilMs;
  }

  /** Runs an action now, or when the pause is over; never if the process is dead. */
  private void whenAwake(Runnable action) {
    if (isPaused()) {
      session.messages().schedule(pausedUntilMs - session.nowMs() + 1, () -> whenAwake(action));
    } else if (alive) {
      action.run();
    }
  }

  private <T> void call(Supplier<T> effect, T unanswered, Consumer<T> onReply) {
    session.messages().call(effect, unanswered, v -> whenAwake(() -> onReply.accept(v)));
  }

  private <T> void callStore(Supplier<T> effect, T unanswered, Consumer<T> onReply) {
    call(
        () -> {
          if (storeCut) {
            return null;
          }
          return session.refusesStoreCall() ? unanswered : effect.get();
        },
        unanswered,
        onReply);
  }

  private void tick() {
    if (!alive) {
      return;
    }
    whenAwake(this::step);
    session.messages().schedule(TICK_MS, this::tick);
  }

  private void step() {
    if (!storeCut && !session.isStoreDown()) {
      lastBeatMs = session.nowMs();
      keeper.updateMembership(session.membership());
      settlePlanner();
    }
    keeper.updateVmList(session.listing(), session.nowMs());
    act();
    plan();
  }

  private void settlePlanner() {
    Optional<PlannerRecord> record = session.planner();
    long revision = session.plannerRevision();
    if (!electing) {
      PlannerElection.next(id, false, session.membership(), record)
          .ifPresent(
              next -> {
                electing = true;
                callStore(
                    () -> session.compareAndSwap(Keys.PLANNER, revision, Json.write(next)),
                    new WriteResult.Unknown("lost"),
                    r -> electing = false);
              });
    }
    Optional<PlannerRecord> mine = record.filter(p -> p.owner().equals(id));
    if (mine.isPresent() && mine.get().epoch() != planningEpoch) {
      planningEpoch = mine.get().epoch();
      planner.startEpoch(planningEpoch);
      heardOf.clear();
      session.log(id, "PLANNER_ELECTED epoch " + planningEpoch);
    } else if (mine.isEmpty()) {
      planningEpoch = 0;
    }
  }

  private void act() {
    for (RackAction action : keeper.tick(session.nowMs())) {
      if (action instanceof RackAction.ReadRecord read) {
        read(read.rack());
      } else if (action instanceof RackAction.WriteRecord write) {
        write(write.write());
      } else if (action instanceof RackAction.SyncWorker sync) {
        sync(sync);
      } else {
        refreshZones();
      }
    }
    keeper.drainEvents().forEach(e -> session.log(id, e));
  }

  private void read(RackId rack) {
    callStore(
        () -> session.read(Keys.rack(rack)),
        new ReadResult.Unavailable("lost"),
        result -> {
          Optional<RackRecord> record = Optional.empty();
          long revision = 0;
          if (result instanceof ReadResult.Found found) {
            record = Optional.of(Json.read(found.value(), RackRecord.class));
            revision = found.revision();
          }
          boolean answered = !(result instanceof ReadResult.Unavailable);
          keeper.handleRecordRead(rack, record, revision, answered, session.nowMs());
        });
  }

  private void write(RackWrite write) {
    callStore(
        () ->
            session.compareAndSwap(
                Keys.rack(write.rack()), write.expectedRevision(), Json.write(write.next())),
        new WriteResult.Unknown("lost"),
        result -> {
          keeper.handleWriteResult(write, result, session.nowMs());
          act();
        });
  }

  private void sync(RackAction.SyncWorker sync) {
    call(
        () ->
            cutWorkers.contains(sync.worker().id())
                ? null
                : session.deliver(sync.worker(), sync.commands()),
        Optional.<WorkerReport>empty(),
        report -> keeper.handleWorkerReply(sync.rack(), sync.worker(), report, session.nowMs()));
  }

  private void refreshZones() {
    long sentMs = session.nowMs();
    callStore(
        () -> Optional.of(session.index()),
        Optional.<ConfigIndex>empty(),
        index -> index.ifPresent(i -> keeper.updateZones(new ZoneView(sentMs, i.zonesOut()))));
  }

  private void plan() {
    if (planningEpoch == 0) {
      return;
    }
    planner.updateVmList(session.listing());
    if (!storeCut && !session.isStoreDown()) {
      planner.updateIndex(session.index());
      session.configs().forEach(planner::updateConfig);
      session.jobs().forEach(j -> planner.updateJobs(j, session.jobsRevision()));
    }
    planner.teamsToRead().forEach(this::readTasks);
    planner.nextWrites(session.nowMs()).forEach(this::writeTasks);
    planner.drainEvents().forEach(e -> session.log(id, e));
    session.schedulers().forEach(this::exchange);
  }

  private void readTasks(TeamId team) {
    if (!readingTasks.add(team)) {
      return;
    }
    callStore(
        () -> session.read(Keys.tasks(team)),
        new ReadResult.Unavailable("lost"),
        result -> {
          readingTasks.remove(team);
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
            session.compareAndSwap(
                Keys.tasks(write.team()), write.expectedRevision(), Json.write(write.next())),
        new WriteResult.Unknown("lost"),
        result -> planner.handleWriteResult(write, result));
  }

  private void exchange(SimulatedScheduler target) {
    String key = target.id.value();
    if (!exchanging.add(key)) {
      return;
    }
    List<RackPlan> plans = planner.plansFor(heardOf);
    Map<RackId, StatusVersion> known = planner.statusVersions(heardOf);
    long epoch = planningEpoch;
    call(
        () -> target.take(plans, known),
        List.<RackStatus>of(),
        news -> {
          exchanging.remove(key);
          if (planningEpoch == epoch) {
            news.forEach(planner::updateStatus);
            news.forEach(s -> heardOf.add(s.rack()));
          }
        });
  }

  private List<RackStatus> take(List<RackPlan> plans, Map<RackId, StatusVersion> known) {
    if (!alive || isPaused()) {
      return null;
    }
    plans.forEach(keeper::updatePlan);
    act();
    return keeper.statusesSince(known, session.nowMs());
  }
}
