package org.plantainloom.coordination.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.plantainloom.coordination.plan.PlannerSnapshot.JobSummary;
import org.plantainloom.coordination.plan.PlannerSnapshot.ServiceSummary;
import org.plantainloom.coordination.plan.PlannerSnapshot.WorkerSummary;
import org.plantainloom.coordination.plan.PlannerSnapshot.ZoneSummary;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.state.BatchJobProgress;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.RunState;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.ZoneName;

/** Builds a snapshot of the planner's state. */
final class SnapshotBuilder {
  private SnapshotBuilder() {}

  static PlannerSnapshot of(Planner planner) {
    List<ServiceSummary> services = new ArrayList<>();
    List<JobSummary> jobs = new ArrayList<>();
    for (TeamState teamState : planner.teamStates()) {
      teamState
          .config()
          .services()
          .forEach(s -> services.add(serviceSummary(planner, teamState, s)));
      teamState.persisted().jobs().forEach(j -> jobs.add(jobSummary(planner, teamState, j)));
    }
    List<WorkerSummary> workers = workerSummaries(planner);
    return new PlannerSnapshot(
        planner.index().revision(), services, jobs, workers, zoneSummaries(planner, workers));
  }

  private static ServiceSummary serviceSummary(
      Planner planner, TeamState teamState, ServiceSpec service) {
    long running =
        teamState.persisted().tasks().stream()
            .filter(t -> t.id().workload().equals(service.name()) && isRunning(planner, t))
            .count();
    return new ServiceSummary(
        teamState.team().value(), service.name(), service.replicas(), (int) running);
  }

  private static JobSummary jobSummary(Planner planner, TeamState teamState, BatchJobProgress job) {
    int running = 0;
    int setAside = 0;
    int pending = 0;
    for (TaskRecord task : teamState.persisted().tasks()) {
      if (!task.id().workload().equals(job.job())) {
        continue;
      }
      if (isRunning(planner, task)) {
        running++;
      } else if (task.phase() == TaskPhase.SET_ASIDE) {
        setAside++;
      } else {
        pending++;
      }
    }
    return new JobSummary(
        teamState.team().value(),
        job.job(),
        job.tasks(),
        job.finished(),
        running,
        pending,
        setAside,
        job.cancelled(),
        job.complete());
  }

  private static boolean isRunning(Planner planner, TaskRecord task) {
    return planner
        .commitment(task.ref())
        .flatMap(CommitmentStatus::state)
        .filter(s -> s == RunState.RUNNING)
        .isPresent();
  }

  private static List<WorkerSummary> workerSummaries(Planner planner) {
    Map<WorkerId, ResourceVector> committed = new TreeMap<>();
    Map<WorkerId, Integer> tasks = new TreeMap<>();
    Set<WorkerId> unreachable = new TreeSet<>();
    for (RackStatus status : planner.statuses()) {
      for (CommitmentStatus commitment : status.commitments()) {
        WorkerId worker = commitment.commitment().worker();
        ResourceVector size = commitment.commitment().launch().size();
        committed.merge(worker, size, ResourceVector::plus);
        tasks.merge(worker, 1, Integer::sum);
      }
      unreachable.addAll(status.unreachable());
    }
    List<WorkerSummary> summaries = new ArrayList<>();
    for (WorkerInfo worker : planner.listing().workers()) {
      summaries.add(
          new WorkerSummary(
              worker.id().value(),
              worker.zone().value(),
              worker.rack().value(),
              worker.capacity(),
              committed.getOrDefault(worker.id(), ResourceVector.ZERO),
              tasks.getOrDefault(worker.id(), 0),
              !unreachable.contains(worker.id())));
    }
    return summaries;
  }

  private static List<ZoneSummary> zoneSummaries(Planner planner, List<WorkerSummary> workers) {
    Map<String, Integer> tasksByZone = new TreeMap<>();
    workers.forEach(w -> tasksByZone.merge(w.zone(), w.tasks(), Integer::sum));
    Set<ZoneName> zonesOut = planner.index().zonesOut();
    zonesOut.forEach(z -> tasksByZone.putIfAbsent(z.value(), 0));
    List<ZoneSummary> summaries = new ArrayList<>();
    tasksByZone.forEach(
        (zone, count) ->
            summaries.add(new ZoneSummary(zone, zonesOut.contains(new ZoneName(zone)), count)));
    return summaries;
  }
}
