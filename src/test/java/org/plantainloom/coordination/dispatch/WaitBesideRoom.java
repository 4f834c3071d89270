package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.TaskKey;

/**
 * Judges lasting tasks as the platform does: from 6 s after its last run, and 4 s after the last
 * disturbance, a task must not be without a run for 3 s while there is room for it twice over.
 */
final class WaitBesideRoom {
  private static final long AFTER_LAST_RUN_MS = 6_000;
  private static final long AFTER_DISTURBANCE_MS = 4_000;
  private static final long TOLERATED_MS = 3_000;

  private final DispatcherSimulation simulation;
  private final Map<TaskKey, Long> lastRunMs = new HashMap<>();
  private final Map<TaskKey, Long> roomSinceMs = new HashMap<>();
  private long disturbedMs;

  /** What was found, with the time and the task. */
  final List<String> violations = new ArrayList<>();

  WaitBesideRoom(DispatcherSimulation simulation) {
    this.simulation = simulation;
  }

  void disturbed() {
    disturbedMs = simulation.nowMs;
  }

  /** Observes the tasks of jobs that are to run. */
  void observe(Collection<JobSpec> lastingJobs) {
    List<SimulatedWorker> living =
        simulation.workers.stream().filter(worker -> !worker.unreachable).toList();
    Set<TaskKey> running =
        living.stream().flatMap(w -> w.running.keySet().stream()).collect(Collectors.toSet());
    for (JobSpec job : lastingJobs) {
      ResourceVector need = job.phases().get(0).need();
      boolean room = living.stream().mapToInt(worker -> places(worker, need)).sum() >= 2;
      for (int i = 0; i < job.phases().get(0).count(); i++) {
        observe(new TaskKey(job.id(), 0, 0, i), running, room);
      }
    }
  }

  private void observe(TaskKey task, Set<TaskKey> running, boolean room) {
    lastRunMs.putIfAbsent(task, simulation.nowMs);
    if (running.contains(task)) {
      lastRunMs.put(task, simulation.nowMs);
    }
    if (running.contains(task) || !room) {
      roomSinceMs.remove(task);
      return;
    }
    long since = roomSinceMs.computeIfAbsent(task, key -> simulation.nowMs);
    long countedFrom =
        Math.max(
            Math.max(since, lastRunMs.get(task) + AFTER_LAST_RUN_MS),
            disturbedMs + AFTER_DISTURBANCE_MS);
    if (simulation.nowMs - countedFrom > TOLERATED_MS) {
      violations.add(simulation.nowMs + " " + task + " has waited beside room since " + since);
    }
  }

  /** Returns for how many more tasks a worker that takes new ones has room. */
  static int places(SimulatedWorker worker, ResourceVector need) {
    if (worker.registration.draining()) {
      return 0;
    }
    ResourceVector free = worker.registration.capacity();
    for (SimulatedWorker.SimulatedRun run : worker.running.values()) {
      free = free.minus(run.phase.spec.need());
    }
    int cpu = free.cpuMillis() / need.cpuMillis();
    return Math.max(0, Math.min(cpu, free.memoryMb() / Math.max(1, need.memoryMb())));
  }
}
