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
import org.plantainloom.program.standin.StoreStandin;
import org.plantainloom.program.standin.WorkerStandin;
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
 * A whole session of the decision core in virtual time: schedulers with the real state machines,
 * stand-ins for store and workers, and a log for golden files.
 */
public final class CoordinationSimulation {
  private static final long START_MS = 1_000_000;
  private static final long MEMBER_TTL_MS = 3_500;
  private static final long LIST_LAG_MS = 3_000;
  private static final long ZONE_GRACE_MS = 2_000;
  private static final double RUN_TIME_LIES = 1.5;

  private final VirtualClock clock = new VirtualClock(START_MS);
  private final UniformRandomProvider random;
  private final SimulatedNetwork messages;
  private final StoreStandin store = new StoreStandin(clock);
  private final ExecutionLedger ledger = new ExecutionLedger();
  private final Map<WorkerId, WorkerStandin> workers = new TreeMap<>();
  private final List<SimulatedScheduler> schedulers = new ArrayList<>();
  private final Map<TeamId, TeamConfig> configs = new TreeMap<>();
  private final Map<TeamId, JobsDocument> jobs = new TreeMap<>();
  private final Map<ZoneName, Long> outSinceMs = new TreeMap<>();
  private final List<String> lines = new ArrayList<>();
  private final Set<String> lost = new TreeSet<>();
  private final List<String> violations = new ArrayList<>();
  private ConfigIndex index = ConfigIndex.empty();
  private VmListing listing;
  private long jobsRevision;
  private boolean storeDown;
  private int rackWrites;
  private int refusedCalls;

  /** Creates a session with workers and schedulers. */
  public CoordinationSimulation(long seed, List<WorkerInfo> fleet, int schedulerCount) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.messages = new SimulatedNetwork(clock, random);
    for (WorkerInfo info : fleet) {
      workers.put(info.id(), newWorker(info));
    }
    this.listing = VmListing.of(clock.nowMs(), fleet);
    for (int i = 1; i <= schedulerCount; i++) {
      addScheduler("scheduler-" + i);
    }
  }

  private WorkerStandin newWorker(WorkerInfo info) {
    int skewMs = random.nextInt(201) - 100;
    return new WorkerStandin(
        info, ledger, () -> clock.nowMs() + skewMs, RUN_TIME_LIES, random.nextLong());
  }

  /** Adds a scheduler. */
  public SimulatedScheduler addScheduler(String name) {
    SimulatedScheduler scheduler = new SimulatedScheduler(this, name);
    schedulers.add(scheduler);
    return scheduler;
  }

  /** Sets how messages go wrong from now on. */
  public CoordinationSimulation withFaults(MessageFaults faults) {
    messages.setFaults(faults);
    return this;
  }

  /** Declares a team. */
  public CoordinationSimulation declare(TeamConfig config) {
    configs.put(config.team(), config);
    jobs.putIfAbsent(config.team(), JobsDocument.empty(config.team()));
    index = index.withTeam(config.team(), "v" + index.revision(), "declare-" + index.revision());
    note("DECLARED " + config.team());
    return this;
  }

  /** Creates a batch job. */
  public CoordinationSimulation create(TeamId team, BatchJobSpec job) {
    List<JobIntent> intents = new ArrayList<>(jobs.get(team).jobs());
    intents.add(new JobIntent(job, "create-" + job.name(), false));
    jobs.put(team, new JobsDocument(team, intents));
    jobsRevision++;
    note("CREATED " + team + "/" + job.name() + " x" + job.tasks());
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
    note("CANCELLED " + team + "/" + job);
    return this;
  }

  /** Takes a zone out. */
  public CoordinationSimulation takeZoneOut(String zone) {
    index = index.withZone(new ZoneName(zone), true, "out-" + index.revision());
    outSinceMs.putIfAbsent(new ZoneName(zone), clock.nowMs());
    note("ZONE_OUT " + zone);
    return this;
  }

  /** Brings a zone back. */
  public CoordinationSimulation bringZoneBack(String zone) {
    index = index.withZone(new ZoneName(zone), false, "in-" + index.revision());
    outSinceMs.remove(new ZoneName(zone));
    note("ZONE_BACK " + zone);
    return this;
  }

  /** Replaces a worker's VM by a fresh one under the same name and address. */
  public CoordinationSimulation replaceWorker(WorkerId id) {
    WorkerStandin old = workers.get(id);
    WorkerInfo info = old.info();
    old.destroy();
    WorkerInfo fresh =
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
    workers.put(id, newWorker(fresh));
    note("REPLACED " + id);
    messages.schedule(LIST_LAG_MS, this::relist);
    return this;
  }

  private void relist() {
    listing =
        VmListing.of(clock.nowMs(), workers.values().stream().map(WorkerStandin::info).toList());
  }

  /** Makes tasks fail on the workers that the test names. */
  public CoordinationSimulation withFailingTasks(BiPredicate<WorkerId, TaskRef> fails) {
    workers.forEach((id, worker) -> worker.failing(ref -> fails.test(id, ref)));
    return this;
  }

  /** Returns how many writes of racks succeeded so far. */
  public int rackWrites() {
    return rackWrites;
  }

  /** Switches the store off or on. */
  public CoordinationSimulation setStoreDown(boolean down) {
    storeDown = down;
    note(down ? "STORE_DOWN" : "STORE_BACK");
    return this;
  }

  /** Lets time pass. */
  public CoordinationSimulation run(long ms) {
    messages.run(ms);
    workers.values().forEach(WorkerStandin::advance);
    return this;
  }

  /** Heals everything that was cut, paused or switched off. */
  public CoordinationSimulation heal() {
    storeDown = false;
    messages.setFaults(MessageFaults.none());
    schedulers.forEach(SimulatedScheduler::heal);
    List.copyOf(outSinceMs.keySet()).forEach(z -> bringZoneBack(z.value()));
    return this;
  }

  /** Returns what the workers counted. */
  public LedgerSummary ledger() {
    return ledger.summary();
  }

  /**
   * Returns tasks whose work was done twice.
   *
   * <p>Work of an incarnation that was released as lost, since its worker was gone or out of reach
   * before it could confirm the end, has to be done again and does not count.
   */
  public List<TaskId> tasksFinishedTwice() {
    Map<TaskId, Integer> done = new TreeMap<>();
    for (TaskRef ref : ledger.finishedRefs()) {
      if (!lost.contains(ref.toString())) {
        done.merge(ref.task(), 1, Integer::sum);
      }
    }
    return done.entrySet().stream().filter(e -> e.getValue() > 1).map(Map.Entry::getKey).toList();
  }

  /** Returns the broken promises. */
  public List<String> violations() {
    return violations;
  }

  /** Returns how many tasks of a workload run. */
  public long runningTasks(String workload) {
    workers.values().forEach(WorkerStandin::advance);
    return workers.values().stream()
        .flatMap(w -> w.reports().stream())
        .filter(r -> r.state() == RunState.RUNNING)
        .filter(r -> r.ref().task().workload().equals(workload))
        .count();
  }

  /** Returns how many commitments there are for workloads whose names begin so. */
  public long commitmentCount(String prefix) {
    return store.list(Keys.RACKS).entries().stream()
        .map(e -> Json.read(e.value(), RackRecord.class))
        .flatMap(r -> r.commitments().stream())
        .filter(c -> c.ref().task().workload().startsWith(prefix))
        .count();
  }

  /** Returns the persisted racks and the workers' tasks, for the message of a failed check. */
  public String describe() {
    StringBuilder text = new StringBuilder(log());
    for (StoreEntry rack : store.list(Keys.RACKS).entries()) {
      text.append(rack.key()).append(' ').append(rack.value()).append('\n');
    }
    workers.values().forEach(w -> text.append(w.describe()).append('\n'));
    return text.toString();
  }

  /** Returns the log, a line for each event. */
  public String log() {
    return String.join("\n", lines) + "\n";
  }

  /** Returns a random source for the test's own choices. */
  public UniformRandomProvider random() {
    return random;
  }

  /** Returns the schedulers, dead ones included. */
  public List<SimulatedScheduler> schedulers() {
    return schedulers;
  }

  /** Returns the workers' names. */
  public List<WorkerId> workerIds() {
    return List.copyOf(workers.keySet());
  }

  /** Returns how many of a team's batch tasks are persisted as finished. */
  public int finishedTasks(TeamId team) {
    return tasks(team).jobs().stream().mapToInt(BatchJobProgress::finished).sum();
  }

  /** Returns a team's tasks as persisted. */
  public TasksDocument tasks(TeamId team) {
    return store
        .read(Keys.tasks(team))
        .map(v -> Json.read(v.value(), TasksDocument.class))
        .orElse(TasksDocument.empty(team));
  }

  // What the schedulers see.

  long nowMs() {
    return clock.nowMs();
  }

  SimulatedNetwork messages() {
    return messages;
  }

  /** Counts a call to the store; returns whether it is refused at once, since the store is down. */
  boolean refusesStoreCall() {
    refusedCalls += storeDown ? 1 : 0;
    return storeDown;
  }

  /** Returns how many calls a store that was down has refused. */
  public int refusedCalls() {
    return refusedCalls;
  }

  boolean isStoreDown() {
    return storeDown;
  }

  ConfigIndex index() {
    return index;
  }

  VmListing listing() {
    return listing;
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

  WriteResult compareAndSwap(String key, long expected, String value) {
    OptionalLong revision = store.compareAndSwap(key, expected, value);
    rackWrites += revision.isPresent() && key.startsWith(Keys.RACKS) ? 1 : 0;
    return revision.isPresent()
        ? new WriteResult.Written(revision.getAsLong())
        : new WriteResult.Conflict();
  }

  Optional<WorkerReport> deliver(WorkerInfo target, WorkerCommands commands) {
    // A worker ends lapsed tasks by its own clock, whether or not anybody talks to it.
    workers.values().forEach(WorkerStandin::advance);
    WorkerStandin worker = workers.get(target.id());
    LedgerSummary before = ledger.summary();
    WorkerReport report = worker.sync(commands);
    check(worker, before, ledger.summary());
    return Optional.of(report);
  }

  private void check(WorkerStandin worker, LedgerSummary before, LedgerSummary after) {
    Long outSince = outSinceMs.get(worker.info().zone());
    boolean started = after.taskStarts() > before.taskStarts();
    if (started && outSince != null && clock.nowMs() > outSince + ZONE_GRACE_MS) {
      violation("a start in zone " + worker.info().zone() + " that is out");
    }
    if (after.taskOverlaps() > before.taskOverlaps()) {
      violation("a task runs in two places, the second at " + worker.info().id());
    }
    if (after.overcommits() > before.overcommits()) {
      violation("worker " + worker.info().id() + " is committed beyond its capacity");
    }
    if (after.repeatedStarts() > before.repeatedStarts()) {
      violation("an incarnation started twice, the second time at " + worker.info().id());
    }
  }

  private void violation(String text) {
    violations.add((clock.nowMs() - START_MS) + " ms: " + text);
    note("VIOLATION " + text);
  }

  private void note(String text) {
    lines.add(String.format(Locale.ROOT, "%6d operator     %s", clock.nowMs() - START_MS, text));
  }

  void log(MemberId process, DecisionEvent event) {
    if (event.kind() == EventKind.TASK_RELEASED
        && event.detail().startsWith(ReleaseOutcome.LOST.name())) {
      lost.add(event.subject());
    }
    log(process, event.kind() + " " + event.subject() + " " + event.detail());
  }

  void log(MemberId process, String text) {
    lines.add(String.format(Locale.ROOT, "%6d %-12s %s", clock.nowMs() - START_MS, process, text));
  }
}
