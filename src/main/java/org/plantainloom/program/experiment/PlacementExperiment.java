package org.plantainloom.program.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.plantainloom.coordination.plan.PlacementPolicy;
import org.plantainloom.coordination.plan.Planner;
import org.plantainloom.coordination.plan.PlannerPolicy;
import org.plantainloom.coordination.plan.PlannerSnapshot.WorkerSummary;
import org.plantainloom.coordination.plan.TasksWrite;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.timeline.DecisionEvent;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.JobIntent;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.RackId;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WriteResult;

/**
 * Runs the real planner in simulated time, with job arrivals from a seed and racks that execute its
 * plans immediately.
 */
final class PlacementExperiment {
  private static final int TEAMS = 100;
  private static final long STEP_MS = 500;
  private static final int REPLICAS_PER_40_WORKERS = 101; // about 1,900 replicas on 750 workers
  private static final ResourceVector REPLICA_SIZE = new ResourceVector(2_000, 8_192, 0);
  private static final ResourceVector SMALLEST_ACCELERATED_TASK =
      new ResourceVector(1_000, 1_024, 1);

  private final PlacementPolicy policy;
  private final Planner planner;
  private final VmListing fleet;
  private final JobArrivals arrivals;
  private final Map<RackId, SimulatedRack> racks = new TreeMap<>();
  private final List<JobsDocument> jobs = new ArrayList<>();
  private final Map<TaskId, Long> urgentArrivalMs = new HashMap<>();
  private final Histogram urgentWaitMs = new Histogram(3_600_000, 3);
  private final Map<TeamId, Long> revisions = new HashMap<>();
  private int arrivedTasks;
  private int finishedTasks;
  private int evictions;
  private int placements;
  private long planningNanos;
  private double strandedPercentSum;

  PlacementExperiment(PlacementPolicy policy, int workers, int seed) {
    this.policy = policy;
    PlannerPolicy defaults = PlannerPolicy.standard();
    this.planner =
        new Planner(
            new PlannerPolicy(
                policy,
                defaults.retryBaseMs(),
                defaults.retryMaxMs(),
                defaults.failuresToSetAside(),
                defaults.workerStrikes(),
                defaults.workerPauseMs(),
                defaults.workerPauseMaxMs()));
    this.fleet = SimulatedFleet.ofSize(workers);
    this.arrivals = new JobArrivals(seed, workers);
    fleet.workers().forEach(w -> racks.computeIfAbsent(w.rack(), SimulatedRack::new));
  }

  PlacementResult run(int seconds) {
    declareTeams();
    int steps = (int) (seconds * 1_000L / STEP_MS);
    for (int step = 1; step <= steps; step++) {
      step(step * STEP_MS, step);
    }
    return new PlacementResult(
        policy,
        fleet.workers().size(),
        arrivedTasks,
        finishedTasks,
        evictions,
        strandedPercentSum / steps,
        urgentWaitMs.getValueAtPercentile(50),
        urgentWaitMs.getValueAtPercentile(99),
        planningNanos / 1e6 / steps,
        placements == 0 ? 0 : planningNanos / 1e3 / placements);
  }

  private void declareTeams() {
    planner.startEpoch(1);
    planner.updateVmList(fleet);
    int replicas = fleet.workers().size() * REPLICAS_PER_40_WORKERS / 40 / TEAMS;
    ResourceVector quota = new ResourceVector(fleet.workers().size() * 320, 1_000_000, 100);
    for (int i = 0; i < TEAMS; i++) {
      TeamId team = new TeamId("team-" + i);
      List<ServiceSpec> services =
          replicas == 0
              ? List.of()
              : List.of(new ServiceSpec("service", replicas, REPLICA_SIZE, 50, 200));
      planner.updateConfig(new TeamConfig(team, quota, services, List.of()));
      jobs.add(JobsDocument.empty(team));
      planner.updateJobs(jobs.get(i), 0);
      planner.updateTasks(TasksDocument.empty(team), 0);
    }
    racks.values().forEach(r -> planner.updateStatus(r.status()));
  }

  private void step(long nowMs, int step) {
    for (BatchJobSpec job : arrivals.jobsWithin(STEP_MS)) {
      submitJob(job, step, nowMs);
    }
    long startNanos = System.nanoTime();
    List<TasksWrite> writes = planner.nextWrites(nowMs);
    planningNanos += System.nanoTime() - startNanos;
    writes.forEach(this::confirmWrite);
    countEvents(nowMs);
    for (RackPlan plan : planner.plansFor(racks.keySet())) {
      racks.get(plan.rack()).apply(plan, nowMs);
    }
    for (SimulatedRack rack : racks.values()) {
      finishedTasks += rack.completeTasks(nowMs);
      planner.updateStatus(rack.status());
    }
    strandedPercentSum += strandedPercent();
  }

  private void submitJob(BatchJobSpec job, int step, long nowMs) {
    int team = arrivedTasks / job.tasks() % TEAMS;
    JobsDocument document = jobs.get(team);
    List<JobIntent> intents = new ArrayList<>(document.jobs());
    intents.add(new JobIntent(job, job.name(), false));
    jobs.set(team, new JobsDocument(document.team(), intents));
    planner.updateJobs(jobs.get(team), step);
    arrivedTasks += job.tasks();
    for (int i = 0; job.urgent() && i < job.tasks(); i++) {
      urgentArrivalMs.put(new TaskId(document.team(), job.name(), i), nowMs);
    }
  }

  private void confirmWrite(TasksWrite write) {
    long revision = revisions.merge(write.team(), 1L, Long::sum);
    planner.handleWriteResult(write, new WriteResult.Written(revision));
  }

  private void countEvents(long nowMs) {
    for (DecisionEvent event : planner.drainEvents()) {
      if (event.kind() == EventKind.TASK_STOPPING) {
        evictions++;
      } else if (event.kind() == EventKind.TASK_BOUND) {
        placements++;
        String task = event.subject().substring(0, event.subject().indexOf('#'));
        Long arrivedMs = urgentArrivalMs.remove(TaskId.parse(task));
        if (arrivedMs != null) {
          urgentWaitMs.recordValue(nowMs - arrivedMs);
        }
      }
    }
  }

  /**
   * Returns the percentage of all accelerators that are free but stranded: their worker lacks the
   * CPU or memory for even the smallest accelerated task.
   */
  private double strandedPercent() {
    int total = 0;
    int stranded = 0;
    for (WorkerSummary worker : planner.snapshot().workers()) {
      ResourceVector free = worker.capacity().minus(worker.committed());
      total += worker.capacity().accelerators();
      if (!SMALLEST_ACCELERATED_TASK.fitsIn(free)) {
        stranded += Math.max(0, free.accelerators());
      }
    }
    return total == 0 ? 0 : 100.0 * stranded / total;
  }
}
