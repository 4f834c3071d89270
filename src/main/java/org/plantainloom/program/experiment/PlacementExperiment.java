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

/** Runs the real planner in virtual time on seeded arrivals and a fleet that obeys at once. */
final class PlacementExperiment {
  private static final int TEAMS = 100;
  private static final long STEP_MS = 500;
  private static final int REPLICAS_PER_40_WORKERS = 101; // 1,900 on 750 workers
  private static final ResourceVector REPLICA = new ResourceVector(2_000, 8_192, 0);
  private static final ResourceVector SMALLEST_ACCELERATED = new ResourceVector(1_000, 1_024, 1);

  private final PlacementPolicy policy;
  private final Planner planner;
  private final VmListing fleet;
  private final Arrivals arrivals;
  private final Map<RackId, ModelRack> racks = new TreeMap<>();
  private final List<JobsDocument> jobs = new ArrayList<>();
  private final Map<TaskId, Long> urgentSinceMs = new HashMap<>();
  private final Histogram urgentMs = new Histogram(3_600_000, 3);
  private final Map<TeamId, Long> revisions = new HashMap<>();
  private int arrived;
  private int finished;
  private int evictions;
  private int placements;
  private long roundNanos;
  private double strandedSum;

  PlacementExperiment(PlacementPolicy policy, int workers, int seed) {
    this.policy = policy;
    PlannerPolicy standard = PlannerPolicy.standard();
    this.planner =
        new Planner(
            new PlannerPolicy(
                policy,
                standard.retryBaseMs(),
                standard.retryMaxMs(),
                standard.failuresToSetAside(),
                standard.workerStrikes(),
                standard.workerPauseMs(),
                standard.workerPauseMaxMs()));
    this.fleet = ModelFleet.of(workers);
    this.arrivals = new Arrivals(seed, workers);
    fleet.workers().forEach(w -> racks.computeIfAbsent(w.rack(), ModelRack::new));
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
        arrived,
        finished,
        evictions,
        strandedSum / steps,
        urgentMs.getValueAtPercentile(50),
        urgentMs.getValueAtPercentile(99),
        roundNanos / 1e6 / steps,
        placements == 0 ? 0 : roundNanos / 1e3 / placements);
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
              : List.of(new ServiceSpec("service", replicas, REPLICA, 50, 200));
      planner.updateConfig(new TeamConfig(team, quota, services, List.of()));
      jobs.add(JobsDocument.empty(team));
      planner.updateJobs(jobs.get(i), 0);
      planner.updateTasks(TasksDocument.empty(team), 0);
    }
    racks.values().forEach(r -> planner.updateStatus(r.status()));
  }

  private void step(long nowMs, int step) {
    for (BatchJobSpec job : arrivals.within(STEP_MS)) {
      arrive(job, step, nowMs);
    }
    long startNanos = System.nanoTime();
    List<TasksWrite> writes = planner.nextWrites(nowMs);
    roundNanos += System.nanoTime() - startNanos;
    writes.forEach(this::settle);
    countEvents(nowMs);
    for (RackPlan plan : planner.plansFor(racks.keySet())) {
      racks.get(plan.rack()).apply(plan, nowMs);
    }
    for (ModelRack rack : racks.values()) {
      finished += rack.finish(nowMs);
      planner.updateStatus(rack.status());
    }
    strandedSum += strandedPercent();
  }

  private void arrive(BatchJobSpec job, int step, long nowMs) {
    int team = arrived / job.tasks() % TEAMS;
    JobsDocument before = jobs.get(team);
    List<JobIntent> intents = new ArrayList<>(before.jobs());
    intents.add(new JobIntent(job, job.name(), false));
    jobs.set(team, new JobsDocument(before.team(), intents));
    planner.updateJobs(jobs.get(team), step);
    arrived += job.tasks();
    for (int i = 0; job.urgent() && i < job.tasks(); i++) {
      urgentSinceMs.put(new TaskId(before.team(), job.name(), i), nowMs);
    }
  }

  private void settle(TasksWrite write) {
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
        Long sinceMs = urgentSinceMs.remove(TaskId.parse(task));
        if (sinceMs != null) {
          urgentMs.recordValue(nowMs - sinceMs);
        }
      }
    }
  }

  /** Returns the share of free accelerators on workers that cannot take any task any more. */
  private double strandedPercent() {
    int all = 0;
    int stranded = 0;
    for (WorkerSummary worker : planner.snapshot().workers()) {
      ResourceVector left = worker.capacity().minus(worker.committed());
      all += worker.capacity().accelerators();
      if (!SMALLEST_ACCELERATED.fitsIn(left)) {
        stranded += Math.max(0, left.accelerators());
      }
    }
    return all == 0 ? 0 : 100.0 * stranded / all;
  }
}
