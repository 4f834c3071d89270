package org.plantainloom.coordination.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.coordination.rack.StatusVersion;
import org.plantainloom.coordination.timeline.DecisionEvent;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.RunState;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkloadKind;
import org.plantainloom.state.WriteResult;

/**
 * Decides which task goes to which worker, and which has to give way.
 *
 * <p>Like the rack's machine it is level-triggered: each round derives the next documents from the
 * persisted ones, the racks' statuses and the declared configuration. A task is bound to a rack by
 * its team's document; only a release by that rack's record frees it for the next incarnation.
 */
public final class Planner {
  private final PlannerPolicy policy;
  private final WorkerHealth health;
  private final SortedMap<TeamId, TeamQueue> queues = new TreeMap<>();
  private final Map<RackId, RackStatus> statuses = new TreeMap<>();
  private final Map<TaskRef, CommitmentStatus> committed = new HashMap<>();
  private final Map<TaskRef, Release> released = new HashMap<>();
  private final Map<TaskRef, String> preempted = new TreeMap<>();
  private final Set<String> reportedOnce = new HashSet<>();
  private final List<DecisionEvent> events = new ArrayList<>();
  private Set<TaskRef> stops = Set.of();
  private VmListing listing = VmListing.empty();
  private ConfigIndex index = ConfigIndex.empty();
  private RouteTable routes = RouteTable.empty();
  private long epoch;
  private long sequence;

  /** Creates a planner that knows nothing yet. */
  public Planner(PlannerPolicy policy) {
    this.policy = policy;
    this.health = new WorkerHealth(policy);
  }

  /** Starts planning under a new epoch; everything has to be read again. */
  public void startEpoch(long newEpoch) {
    epoch = newEpoch;
    queues.clear();
    statuses.clear();
    committed.clear();
    released.clear();
    preempted.clear();
    stops = Set.of();
    index.teams().keySet().forEach(this::queue);
  }

  /** Returns the epoch under which plans are made. */
  public long epoch() {
    return epoch;
  }

  /** Takes the index of the configuration in force; an older one is ignored. */
  public void updateIndex(ConfigIndex newIndex) {
    if (newIndex.revision() >= index.revision()) {
      index = newIndex;
      newIndex.teams().keySet().forEach(this::queue);
    }
  }

  /** Returns the index of the configuration in force. */
  public ConfigIndex index() {
    return index;
  }

  /** Takes a team's configuration. */
  public void updateConfig(TeamConfig config) {
    queue(config.team()).configSeen(config);
  }

  /** Takes a team's job intents. */
  public void updateJobs(JobsDocument jobs, long revision) {
    queue(jobs.team()).jobsSeen(jobs, revision);
  }

  /** Takes a team's tasks as they stand in the store. */
  public void updateTasks(TasksDocument document, long revision) {
    queue(document.team()).tasksRead(document, revision);
  }

  /** Returns the teams whose tasks have to be read before they can be planned. */
  public List<TeamId> teamsToRead() {
    return queues.values().stream().filter(TeamQueue::needsRead).map(TeamQueue::team).toList();
  }

  /** Takes the newest listing of VMs. */
  public void updateVmList(VmListing newListing) {
    if (newListing.asOfMs() >= listing.asOfMs()) {
      listing = newListing;
    }
  }

  /** Takes what a rack's owner says; what does not build on what is known is ignored. */
  public void updateStatus(RackStatus news) {
    RackStatus known = statuses.get(news.rack());
    if (!news.appliesTo(known == null ? StatusVersion.NONE : known.statusVersion())) {
      return;
    }
    if (known != null) {
      known.commitments().forEach(c -> committed.remove(c.commitment().ref()));
      known.releases().forEach(r -> released.remove(r.ref()));
    }
    RackStatus status = known == null ? news : news.applyTo(known);
    statuses.put(status.rack(), status);
    status.commitments().forEach(c -> committed.put(c.commitment().ref(), c));
    status.releases().forEach(r -> released.put(r.ref(), r));
  }

  /** Returns how much is known of racks, for their owner to tell only what is new. */
  public Map<RackId, StatusVersion> statusVersions(Collection<RackId> racks) {
    Map<RackId, StatusVersion> known = new TreeMap<>();
    for (RackId rack : racks) {
      status(rack).ifPresent(s -> known.put(rack, s.statusVersion()));
    }
    return known;
  }

  /** Plans one round and returns the documents to persist. */
  public List<TasksWrite> nextWrites(long nowMs) {
    PlanRound round = new PlanRound(this, nowMs);
    List<TasksWrite> writes = round.run();
    stops = round.stops();
    return writes;
  }

  /** Takes the store's answer to a write. */
  public void handleWriteResult(TasksWrite write, WriteResult result) {
    queue(write.team()).writeSettled(write, result);
  }

  /** Returns what is wanted of racks; racks of which nothing is wanted are left out. */
  public List<RackPlan> plansFor(Collection<RackId> racks) {
    return new PlanBuilder(this).build(racks);
  }

  /** Returns the replicas that take requests now; the version grows when they change. */
  public RouteTable routes(int gateways) {
    List<Route> current = new ArrayList<>();
    for (RackStatus status : statuses.values()) {
      for (CommitmentStatus commitment : status.commitments()) {
        routeOf(commitment).ifPresent(current::add);
      }
    }
    current.sort(Comparator.comparing(Route::ref));
    boolean changed = !current.equals(routes.routes()) || gateways != routes.gateways();
    if (changed || epoch != routes.plannerEpoch()) {
      routes = new RouteTable(epoch, routes.version() + 1, gateways, current);
    }
    return routes;
  }

  private Optional<Route> routeOf(CommitmentStatus status) {
    Commitment commitment = status.commitment();
    boolean serving =
        commitment.launch().kind() == WorkloadKind.SERVICE
            && status.state().equals(Optional.of(RunState.RUNNING))
            && !stops.contains(commitment.ref());
    if (!serving) {
      return Optional.empty();
    }
    return listing
        .worker(commitment.worker())
        .filter(w -> !w.leaving())
        .map(
            w ->
                new Route(
                    serviceKey(commitment.ref().task()),
                    commitment.ref(),
                    w.id(),
                    w.address(),
                    w.zone(),
                    w.region(),
                    w.slots()));
  }

  /** Returns the events since the last call and forgets them. */
  public List<DecisionEvent> drainEvents() {
    List<DecisionEvent> drained = List.copyOf(events);
    events.clear();
    return drained;
  }

  /** Returns the current state for people and programs to look at. */
  public PlannerSnapshot snapshot() {
    return SnapshotBuilder.of(this);
  }

  // The remaining methods are the view that a planning round works on.

  PlannerPolicy policy() {
    return policy;
  }

  WorkerHealth health() {
    return health;
  }

  Collection<TeamQueue> queues() {
    return queues.values();
  }

  Optional<TeamQueue> queueOf(TeamId team) {
    return Optional.ofNullable(queues.get(team));
  }

  VmListing listing() {
    return listing;
  }

  /** Returns the service of a replica as {@code team/name}. */
  static String serviceKey(TaskId task) {
    return task.team() + "/" + task.workload();
  }

  Optional<RackStatus> status(RackId rack) {
    return Optional.ofNullable(statuses.get(rack));
  }

  Set<TaskRef> stops() {
    return stops;
  }

  long nextSequence() {
    return ++sequence;
  }

  Collection<RackStatus> statuses() {
    return statuses.values();
  }

  Optional<CommitmentStatus> commitment(TaskRef ref) {
    return Optional.ofNullable(committed.get(ref));
  }

  Optional<Release> release(TaskRef ref) {
    return Optional.ofNullable(released.get(ref));
  }

  Map<TaskRef, String> preempted() {
    return preempted;
  }

  void emit(EventKind kind, Object subject, String detail) {
    events.add(new DecisionEvent(kind, subject.toString(), detail));
  }

  void emitOnce(EventKind kind, Object subject, String detail) {
    if (reportedOnce.add(kind + " " + subject)) {
      emit(kind, subject, detail);
    }
  }

  private TeamQueue queue(TeamId team) {
    return queues.computeIfAbsent(team, t -> new TeamQueue(t, epoch));
  }
}
