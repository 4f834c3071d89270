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
 * Decides which worker each task is bound to, and which tasks have to stop.
 *
 * <p>The planner is level-triggered, like {@link
 * org.plantainloom.coordination.rack.RackController}: each round derives the next documents from
 * the persisted ones, the racks' statuses and the declared configuration. A task is bound to a rack
 * by its team's document; only a release in that rack's record makes it available for its next
 * incarnation.
 */
public final class Planner {
  private final PlannerPolicy policy;
  private final WorkerHealth health;
  private final SortedMap<TeamId, TeamState> teamStates = new TreeMap<>();
  private final Map<RackId, RackStatus> statuses = new TreeMap<>();
  private final Map<TaskRef, CommitmentStatus> committed = new HashMap<>();
  private final Map<TaskRef, Release> released = new HashMap<>();
  // Evicted incarnations that still run, and for each the id of the task it makes room for.
  private final Map<TaskRef, String> evictedFor = new TreeMap<>();
  private final Set<String> emittedOnce = new HashSet<>();
  private final List<DecisionEvent> events = new ArrayList<>();
  private Set<TaskRef> stops = Set.of();
  private VmListing listing = VmListing.empty();
  private ConfigIndex index = ConfigIndex.empty();
  private RouteTable routes = RouteTable.empty();
  private long epoch;
  private long sequence;

  /** Creates a planner without any inputs. */
  public Planner(PlannerPolicy policy) {
    this.policy = policy;
    this.health = new WorkerHealth(policy);
  }

  /**
   * Starts planning under a new epoch; all team documents and rack statuses have to be read again.
   */
  public void startEpoch(long newEpoch) {
    epoch = newEpoch;
    teamStates.clear();
    statuses.clear();
    committed.clear();
    released.clear();
    evictedFor.clear();
    stops = Set.of();
    index.teams().keySet().forEach(this::getOrCreateTeamState);
  }

  /** Returns the epoch under which this planner makes its plans. */
  public long epoch() {
    return epoch;
  }

  /** Updates the index of the configuration in force; an older one is ignored. */
  public void updateIndex(ConfigIndex newIndex) {
    if (newIndex.revision() >= index.revision()) {
      index = newIndex;
      newIndex.teams().keySet().forEach(this::getOrCreateTeamState);
    }
  }

  /** Returns the index of the configuration in force. */
  public ConfigIndex index() {
    return index;
  }

  /** Updates a team's configuration. */
  public void updateConfig(TeamConfig config) {
    getOrCreateTeamState(config.team()).updateConfig(config);
  }

  /** Updates a team's job intents; an older revision is ignored. */
  public void updateJobs(JobsDocument jobs, long revision) {
    getOrCreateTeamState(jobs.team()).updateJobs(jobs, revision);
  }

  /** Updates a team's tasks to those in the store; an older revision is ignored. */
  public void updateTasks(TasksDocument document, long revision) {
    getOrCreateTeamState(document.team()).updateTasks(document, revision);
  }

  /** Returns the teams whose tasks have to be read before they can be planned. */
  public List<TeamId> teamsToRead() {
    return teamStates.values().stream().filter(TeamState::needsRead).map(TeamState::team).toList();
  }

  /** Updates the listing of VMs; an older one is ignored. */
  public void updateVmList(VmListing newListing) {
    if (newListing.asOfMs() >= listing.asOfMs()) {
      listing = newListing;
    }
  }

  /** Updates a rack's status; changes that do not build on the known version are ignored. */
  public void updateStatus(RackStatus received) {
    RackStatus known = statuses.get(received.rack());
    if (!received.appliesTo(known == null ? StatusVersion.NONE : known.statusVersion())) {
      return;
    }
    if (known != null) {
      known.commitments().forEach(c -> committed.remove(c.commitment().ref()));
      known.releases().forEach(r -> released.remove(r.ref()));
    }
    RackStatus status = known == null ? received : received.applyTo(known);
    statuses.put(status.rack(), status);
    status.commitments().forEach(c -> committed.put(c.commitment().ref(), c));
    status.releases().forEach(r -> released.put(r.ref(), r));
  }

  /** Returns the known status versions of racks, so that their owners report only the changes. */
  public Map<RackId, StatusVersion> statusVersions(Collection<RackId> racks) {
    Map<RackId, StatusVersion> known = new TreeMap<>();
    for (RackId rack : racks) {
      status(rack).ifPresent(s -> known.put(rack, s.statusVersion()));
    }
    return known;
  }

  /** Runs one planning round and returns the documents to persist. */
  public List<TasksWrite> nextWrites(long nowMs) {
    PlanningRound round = new PlanningRound(this, nowMs);
    List<TasksWrite> writes = round.run();
    stops = round.stops();
    return writes;
  }

  /** Handles the result of writing a team's tasks. */
  public void handleWriteResult(TasksWrite write, WriteResult result) {
    getOrCreateTeamState(write.team()).handleWriteResult(write, result);
  }

  /** Returns the plans of racks, without the empty ones. */
  public List<RackPlan> plansFor(Collection<RackId> racks) {
    return new PlanBuilder(this).build(racks);
  }

  /**
   * Returns the replicas that currently take requests; the version grows with each change.
   *
   * @param gateways number of gateways that share the workers' slots
   */
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

  /** Returns and clears the events recorded since the last call. */
  public List<DecisionEvent> drainEvents() {
    List<DecisionEvent> drained = List.copyOf(events);
    events.clear();
    return drained;
  }

  /** Returns the current state for status pages. */
  public PlannerSnapshot snapshot() {
    return SnapshotBuilder.of(this);
  }

  // The remaining methods expose the state to a planning round.

  PlannerPolicy policy() {
    return policy;
  }

  WorkerHealth health() {
    return health;
  }

  Collection<TeamState> teamStates() {
    return teamStates.values();
  }

  Optional<TeamState> teamStateOf(TeamId team) {
    return Optional.ofNullable(teamStates.get(team));
  }

  VmListing listing() {
    return listing;
  }

  /** Returns the key {@code team/name} of a replica's service. */
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

  Map<TaskRef, String> evictedFor() {
    return evictedFor;
  }

  void emit(EventKind kind, Object subject, String detail) {
    events.add(new DecisionEvent(kind, subject.toString(), detail));
  }

  void emitOnce(EventKind kind, Object subject, String detail) {
    if (emittedOnce.add(kind + " " + subject)) {
      emit(kind, subject, detail);
    }
  }

  private TeamState getOrCreateTeamState(TeamId team) {
    return teamStates.computeIfAbsent(team, t -> new TeamState(t, epoch));
  }
}
