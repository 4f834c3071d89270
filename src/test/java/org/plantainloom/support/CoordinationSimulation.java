package org.plantainloom.support;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.timeline.DecisionEvent;
import org.plantainloom.program.standin.ExecutionLedger;
import org.plantainloom.program.standin.InMemoryStore;
import org.plantainloom.program.standin.InMemoryWorker;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.LedgerSummary;
import org.plantainloom.protocol.message.StoreValue;
import org.plantainloom.state.BatchJobProgress;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.JobIntent;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.RunState;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.state.WriteResult;
import org.plantainloom.state.ZoneName;

/**
 * Simulates the coordination of a cluster in virtual time: schedulers with the production state
 * machines, simulated store and workers, and a log that tests compare with golden files.
 */
public final class CoordinationSimulation {
  private static final long START_MS = 1_000_000;
  private static final long MEMBER_TTL_MS = 3_500;
  private static final long VM_LIST_LAG_MS = 3_000;
  // Time within which schedulers must stop starting tasks in a zone that was taken out.
  private static final long ZONE_OUT_GRACE_MS = 2_000;
  // Actual run times lie between the declared time divided and multiplied by this factor.
  private static final double MAX_RUN_TIME_FACTOR = 1.5;

  private final VirtualClock clock = new VirtualClock(START_MS);
  private final UniformRandomProvider random;
  private final SimulatedNetwork network;
  private final InMemoryStore store = new InMemoryStore(clock);
  private final ExecutionLedger ledger = new ExecutionLedger();
  private final Map<WorkerId, InMemoryWorker> workers = new TreeMap<>();
  private final List<SimulatedScheduler> schedulers = new ArrayList<>();
  private final Map<TeamId, TeamConfig> configs = new TreeMap<>();
  private final Map<TeamId, JobsDocument> jobs = new TreeMap<>();
  private final Map<ZoneName, Long> zoneOutSinceMs = new TreeMap<>();
  private final List<String> lines = new ArrayList<>();
  private final Set<String> releasedAsLost = new TreeSet<>();
  private final List<String> violations = new ArrayList<>();
  private ConfigIndex index = ConfigIndex.empty();
  private VmListing vmList;
  private long jobsRevision;
  private boolean storeDown;
  private int rackWrites;
  private int refusedStoreCalls;

  /** Creates a simulation with the given fleet; all random choices follow from the seed. */
  public CoordinationSimulation(long seed, List<WorkerInfo> fleet, int schedulerCount) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.network = new SimulatedNetwork(clock, random);
    for (WorkerInfo info : fleet) {
      workers.put(info.id(), newWorker(info));
    }
    this.vmList = VmListing.of(clock.nowMs(), fleet);
    for (int i = 1; i <= schedulerCount; i++) {
      addScheduler("scheduler-" + i);
    }
  }

  private InMemoryWorker newWorker(WorkerInfo info) {
    int clockSkewMs = random.nextInt(201) - 100;
    return new InMemoryWorker(
        info, ledger, () -> clock.nowMs() + clockSkewMs, MAX_RUN_TIME_FACTOR, random.nextLong());
  }

  /** Adds a scheduler. */
  public SimulatedScheduler addScheduler(String name) {
    SimulatedScheduler scheduler = new SimulatedScheduler(this, name);
    schedulers.add(scheduler);
    return scheduler;
  }

  /** Sets the fault rates of all calls from now on. */
  public CoordinationSimulation withFaults(MessageFaults faults) {
    network.setFaults(faults);
    return this;
  }

  /** Declares a team or replaces its configuration. */
  public CoordinationSimulation declare(TeamConfig config) {
    configs.put(config.team(), config);
    jobs.putIfAbsent(config.team(), JobsDocument.empty(config.team()));
    index = index.withTeam(config.team(), "v" + index.revision(), "declare-" + index.revision());
    logEvent("DECLARED " + config.team());
    return this;
  }

  /** Creates a batch job. */
  public CoordinationSimulation create(TeamId team, BatchJobSpec job) {
    List<JobIntent> intents = new ArrayList<>(jobs.get(team).jobs());
    intents.add(new JobIntent(job, "create-" + job.name(), false));
    jobs.put(team, new JobsDocument(team, intents));
    jobsRevision++;
    logEvent("CREATED " + team + "/" + job.name() + " x" + job.tasks());
    return this;
  }

  /** Cancels a batch job. */
  public CoordinationSimulation cancel(TeamId team, String job) {
    List<JobIntent> intents =
        jobs.get(team).jobs().stream()
            .map(j -> j.spec().name().equals(job) ? j.asCancelled() : j)
            .toList();
    jobs.put(team, new JobsDocument(team, intents));
    jobsRevision++;
    logEvent("CANCELLED " + team + "/" + job);
    return this;
  }

  /** Takes a zone out of service. */
  public CoordinationSimulation takeZoneOut(String zone) {
    index = index.withZone(new ZoneName(zone), true, "out-" + index.revision());
    zoneOutSinceMs.putIfAbsent(new ZoneName(zone), clock.nowMs());
    logEvent("ZONE_OUT " + zone);
    return this;
  }

  /** Brings a zone back into service. */
  public CoordinationSimulation bringZoneBack(String zone) {
    index = index.withZone(new ZoneName(zone), false, "in-" + index.revision());
    zoneOutSinceMs.remove(new ZoneName(zone));
    logEvent("ZONE_BACK " + zone);
    return this;
  }

  /** Replaces a worker's VM by a new one with the same name and address, one generation later. */
  public CoordinationSimulation replaceWorker(WorkerId id) {
    InMemoryWorker oldWorker = workers.get(id);
    WorkerInfo info = oldWorker.info();
    oldWorker.destroy();
    WorkerInfo newInfo =
        new WorkerInfo(
            info.id(),
            info.rack(),
            info.zone(),
            info.region(),
            info.address(),
            info.generation() + 1,
            info.capacity(),
            info.slots(),
            info.connections(),
            info.leaving());
    workers.put(id, newWorker(newInfo));
    logEvent("REPLACED " + id);
    network.schedule(VM_LIST_LAG_MS, this::refreshVmList);
    return this;
  }

  private void refreshVmList() {
    vmList =
        VmListing.of(clock.nowMs(), workers.values().stream().map(InMemoryWorker::info).toList());
  }

  /** Makes the tasks fail for which the predicate holds, on the current workers only. */
  public CoordinationSimulation withFailingTasks(BiPredicate<WorkerId, TaskRef> fails) {
    workers.forEach((id, worker) -> worker.failOnStart(ref -> fails.test(id, ref)));
    return this;
  }

  /** Returns the number of successful writes of rack records so far. */
  public int rackWrites() {
    return rackWrites;
  }

  /** Makes the store unavailable or available again. */
  public CoordinationSimulation setStoreDown(boolean down) {
    storeDown = down;
    logEvent(down ? "STORE_DOWN" : "STORE_BACK");
    return this;
  }

  /** Runs the simulation for a duration of virtual time. */
  public CoordinationSimulation run(long durationMs) {
    network.run(durationMs);
    workers.values().forEach(InMemoryWorker::advance);
    return this;
  }

  /** Ends all outages, network faults and pauses, and brings all zones back into service. */
  public CoordinationSimulation heal() {
    storeDown = false;
    network.setFaults(MessageFaults.none());
    schedulers.forEach(SimulatedScheduler::heal);
    List.copyOf(zoneOutSinceMs.keySet()).forEach(z -> bringZoneBack(z.value()));
    return this;
  }

  /** Returns the workers' execution counts. */
  public LedgerSummary ledger() {
    return ledger.summary();
  }

  /**
   * Returns the tasks that finished more than once.
   *
   * <p>An incarnation that was released as lost, because its worker was gone or unreachable before
   * it could confirm the end, is not counted: its task has to run again.
   */
  public List<TaskId> tasksFinishedTwice() {
    Map<TaskId, Integer> done = new TreeMap<>();
    for (TaskRef ref : ledger.finishedIncarnations()) {
      if (!releasedAsLost.contains(ref.toString())) {
        done.merge(ref.task(), 1, Integer::sum);
      }
    }
    return done.entrySet().stream().filter(e -> e.getValue() > 1).map(Map.Entry::getKey).toList();
  }

  /** Returns the invariant violations observed so far. */
  public List<String> violations() {
    return violations;
  }

  /** Returns the number of running tasks of a workload. */
  public long runningTasks(String workload) {
    workers.values().forEach(InMemoryWorker::advance);
    return workers.values().stream()
        .flatMap(w -> w.reports().stream())
        .filter(r -> r.state() == RunState.RUNNING)
        .filter(r -> r.ref().task().workload().equals(workload))
        .count();
  }

  /** Returns the number of stored commitments for workloads with the given name prefix. */
  public long commitmentCount(String prefix) {
    return store.list(Keys.RACKS).entries().stream()
        .map(e -> Json.read(e.value(), RackRecord.class))
        .flatMap(r -> r.commitments().stream())
        .filter(c -> c.ref().task().workload().startsWith(prefix))
        .count();
  }

  /** Returns the log, the stored rack records and the workers' tasks, for failure messages. */
  public String describe() {
    StringBuilder text = new StringBuilder(log());
    for (StoreEntry rack : store.list(Keys.RACKS).entries()) {
      text.append(rack.key()).append(' ').append(rack.value()).append('\n');
    }
    workers.values().forEach(w -> text.append(w.describe()).append('\n'));
    return text.toString();
  }

  /** Returns the log, with one line per event. */
  public String log() {
    return String.join("\n", lines) + "\n";
  }

  /** Returns the simulation's random source, for random choices of a test. */
  public UniformRandomProvider random() {
    return random;
  }

  /** Returns all schedulers, including killed ones. */
  public List<SimulatedScheduler> schedulers() {
    return schedulers;
  }

  /** Returns the ids of all workers. */
  public List<WorkerId> workerIds() {
    return List.copyOf(workers.keySet());
  }

  /** Returns the number of a team's batch tasks that are stored as finished. */
  public int finishedTasks(TeamId team) {
    return tasks(team).jobs().stream().mapToInt(BatchJobProgress::finished).sum();
  }

  /** Returns a team's stored tasks document. */
  public TasksDocument tasks(TeamId team) {
    return store
        .read(Keys.tasks(team))
        .map(v -> Json.read(v.value(), TasksDocument.class))
        .orElse(TasksDocument.empty(team));
  }

  // Accessors for the simulated schedulers.

  long nowMs() {
    return clock.nowMs();
  }

  SimulatedNetwork network() {
    return network;
  }

  /** Returns whether the store is down and refuses the call at once; counts refused calls. */
  boolean rejectStoreCallIfDown() {
    refusedStoreCalls += storeDown ? 1 : 0;
    return storeDown;
  }

  /** Returns the number of calls refused because the store was down. */
  public int refusedCalls() {
    return refusedStoreCalls;
  }

  boolean isStoreDown() {
    return storeDown;
  }

  ConfigIndex index() {
    return index;
  }

  VmListing vmList() {
    return vmList;
  }

  Collection<TeamConfig> configs() {
    return configs.values();
  }

  Collection<JobsDocument> jobs() {
    return jobs.values();
  }

  long jobsRevision() {
    return jobsRevision;
  }

  MembershipView membership() {
    List<MemberRecord> members = new ArrayList<>();
    for (SimulatedScheduler scheduler : schedulers) {
      if (clock.nowMs() - scheduler.lastHeartbeatMs() < MEMBER_TTL_MS) {
        members.add(
            new MemberRecord(
                scheduler.id(),
                MemberRole.SCHEDULER,
                scheduler.id().value(),
                new ZoneName("any"),
                false));
      }
    }
    return new MembershipView(members);
  }

  Optional<PlannerRecord> planner() {
    return store.read(Keys.PLANNER).map(v -> Json.read(v.value(), PlannerRecord.class));
  }

  long plannerRevision() {
    return store.read(Keys.PLANNER).map(StoreValue::revision).orElse(0L);
  }

  ReadResult read(String key) {
    Optional<StoreValue> value = store.read(key);
    return value.isPresent()
        ? new ReadResult.Found(value.get().value(), value.get().revision())
        : new ReadResult.Absent();
  }

  WriteResult compareAndSwap(String key, long expectedRevision, String value) {
    OptionalLong revision = store.compareAndSwap(key, expectedRevision, value);
    rackWrites += revision.isPresent() && key.startsWith(Keys.RACKS) ? 1 : 0;
    return revision.isPresent()
        ? new WriteResult.Written(revision.getAsLong())
        : new WriteResult.Conflict();
  }

  Optional<WorkerReport> deliver(WorkerInfo target, WorkerCommands commands) {
    // A worker ends tasks with expired leases by its own clock, even without control messages.
    workers.values().forEach(InMemoryWorker::advance);
    InMemoryWorker worker = workers.get(target.id());
    LedgerSummary before = ledger.summary();
    WorkerReport report = worker.sync(commands);
    checkInvariants(worker, before, ledger.summary());
    return Optional.of(report);
  }

  private void checkInvariants(InMemoryWorker worker, LedgerSummary before, LedgerSummary after) {
    Long takenOutAtMs = zoneOutSinceMs.get(worker.info().zone());
    boolean started = after.taskStarts() > before.taskStarts();
    if (started && takenOutAtMs != null && clock.nowMs() > takenOutAtMs + ZONE_OUT_GRACE_MS) {
      recordViolation(
          "a task started in zone " + worker.info().zone() + ", which is out of service");
    }
    if (after.taskOverlaps() > before.taskOverlaps()) {
      recordViolation(
          "two incarnations of a task run at once, the second on " + worker.info().id());
    }
    if (after.overcommits() > before.overcommits()) {
      recordViolation("worker " + worker.info().id() + " is committed beyond its capacity");
    }
    if (after.repeatedStarts() > before.repeatedStarts()) {
      recordViolation("an incarnation started twice, the second time on " + worker.info().id());
    }
  }

  private void recordViolation(String text) {
    violations.add((clock.nowMs() - START_MS) + " ms: " + text);
    logEvent("VIOLATION " + text);
  }

  private void logEvent(String text) {
    lines.add(String.format(Locale.ROOT, "%6d operator     %s", clock.nowMs() - START_MS, text));
  }

  void log(MemberId process, DecisionEvent event) {
    if (event.kind() == EventKind.TASK_RELEASED
        && event.detail().startsWith(ReleaseOutcome.LOST.name())) {
      releasedAsLost.add(event.subject());
    }
    log(process, event.kind() + " " + event.subject() + " " + event.detail());
  }

  void log(MemberId process, String text) {
    lines.add(String.format(Locale.ROOT, "%6d %-12s %s", clock.nowMs() - START_MS, process, text));
  }
}
