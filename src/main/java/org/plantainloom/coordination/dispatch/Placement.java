package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.Set;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.PhaseSpec;

/**
 * Chooses the worker for a task.
 *
 * <p>Answers the load in which fill tasks share workers with tasks that serve: fill tasks go where
 * processors are idle and nothing serves, serving tasks to workers with the least fill, so that the
 * two meet only when there is no other room. A fill task waits rather than shares a processor that
 * is taken already: starting it would only slow its neighbours by what it gains.
 */
final class Placement {
  /** Least share of its processors that a fill task must find idle. */
  private static final double FILL_IDLE_SHARE = 0.75;

  /** Weight of one serving task on a worker against idle processors, in thousandths of a core. */
  private static final int SERVING_WEIGHT = 8_000;

  /** Weight of data on another rack: the task then takes longer, in thousandths of a core. */
  private static final int FAR_DATA_WEIGHT = 16_000;

  private Set<String> withdrawnZones = Set.of();

  void zonesWithdrawn(Set<String> zones) {
    withdrawnZones = zones;
  }

  /** Returns the best worker for one more task of the phase, or null if it fits none. */
  WorkerState choose(
      PhaseState phase, String service, Collection<WorkerState> workers, long nowMs) {
    WorkerState best = null;
    long bestScore = Long.MIN_VALUE;
    for (WorkerState worker : workers) {
      if (worker.entry.service().equals(service) && admits(worker, phase, nowMs)) {
        long score = score(worker, phase);
        if (score > bestScore) {
          best = worker;
          bestScore = score;
        }
      }
    }
    return best;
  }

  /** Returns whether new tasks may start on a worker at all. */
  boolean isUsable(WorkerState worker, long nowMs) {
    return worker.registered
        && worker.confirmed
        && worker.persisted
        && !worker.unreachable
        && worker.isClockKnown()
        && !worker.entry.draining()
        && worker.suspendedUntilMs <= nowMs
        && !withdrawnZones.contains(worker.entry.zone());
  }

  private boolean admits(WorkerState worker, PhaseState phase, long nowMs) {
    PhaseSpec spec = phase.spec;
    if (!isUsable(worker, nowMs) || !fits(worker, spec)) {
      return false;
    }
    if (!spec.requiredLabel().isEmpty() && !worker.entry.labels().contains(spec.requiredLabel())) {
      return false;
    }
    return spec.maxPerWorker() == 0 || phase.tasksOn(worker) < spec.maxPerWorker();
  }

  private static boolean fits(WorkerState worker, PhaseSpec spec) {
    ResourceVector need = spec.need();
    if (spec.fillsIdleCpu()) {
      if (worker.idleCpuMillis() < need.cpuMillis() * FILL_IDLE_SHARE) {
        return false;
      }
      need = new ResourceVector(0, need.memoryMb(), need.accelerators());
    }
    return worker.reserved().plus(need).fitsIn(worker.entry.capacity());
  }

  private static long score(WorkerState worker, PhaseState phase) {
    PhaseSpec spec = phase.spec;
    long score = worker.idleCpuMillis();
    if (!spec.preferredRack().isEmpty() && !worker.entry.labels().contains(spec.preferredRack())) {
      score -= FAR_DATA_WEIGHT;
    }
    if (spec.lasting()) {
      score -= worker.fillCpuMillis();
      score -= (long) SERVING_WEIGHT * phase.tasksOn(worker);
    } else if (spec.fillsIdleCpu()) {
      for (Run run : worker.runs.values()) {
        score -= run.task.phase.spec.tailObjectiveMs() > 0 ? SERVING_WEIGHT : 0;
      }
    }
    return score;
  }
}
