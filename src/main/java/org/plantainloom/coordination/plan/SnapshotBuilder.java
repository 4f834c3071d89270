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

/** Gathers the planner's state into a snapshot. */
final class SnapshotBuilder {
  private SnapshotBuilder() {}

  static PlannerSnapshot of(Planner planner) {
    List<ServiceSummary> services = new ArrayList<>();
    List<JobSummary> jobs = new ArrayList<>();
    for (TeamQueue queue : planner.queues()) {
      queue.config().services().forEach(s -> services.add(serviceLine(planner, queue, s)));
      queue.persisted().jobs().forEach(j -> jobs.add(jobLine(planner, queue, j)));
    }
    List<WorkerSummary> workers = workerLines(planner);
    return new PlannerSnapshot(
        planner.index().revision(), services, jobs, workers, zoneLines(planner, workers));
  }

  private static ServiceSummary serviceLine(Planner planner, TeamQueue queue, ServiceSpec service) {
    long running =
        queue.persisted().tasks().stream()
            .filter(t -> t.id().workload().equals(service.name()) && isRunning(planner, t))
            .count();
    return new ServiceSummary(
        queue.team().value(), service.name(), service.replicas(), (int) running);
  }

  private static JobSummary jobLine(Planner planner, TeamQueue queue, BatchJobProgress job) {
    int running = 0;
    int setAside = 0;
    int pending = 0;
    for (TaskRecord task : queue.persisted().tasks()) {
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
        queue.team().value(),
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

  private static List<WorkerSummary> workerLines(Planner planner) {
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
    List<WorkerSummary> lines = new ArrayList<>();
    for (WorkerInfo worker : planner.listing().workers()) {
      lines.add(
          new WorkerSummary(
              worker.id().value(),
              worker.zone().value(),
              worker.rack().value(),
              worker.capacity(),
              committed.getOrDefault(worker.id(), ResourceVector.ZERO),
              tasks.getOrDefault(worker.id(), 0),
              !unreachable.contains(worker.id())));
    }
    return lines;
  }

  private static List<ZoneSummary> zoneLines(Planner planner, List<WorkerSummary> workers) {
    Map<String, Integer> tasksByZone = new TreeMap<>();
    workers.forEach(w -> tasksByZone.merge(w.zone(), w.tasks(), Integer::sum));
    Set<ZoneName> out = planner.index().zonesOut();
    out.forEach(z -> tasksByZone.putIfAbsent(z.value(), 0));
    List<ZoneSummary> lines = new ArrayList<>();
    tasksByZone.forEach(
        (zone, count) -> lines.add(new ZoneSummary(zone, out.contains(new ZoneName(zone)), count)));
    return lines;
  }
}
