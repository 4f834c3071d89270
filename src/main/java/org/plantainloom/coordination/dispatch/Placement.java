package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.Set;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.PhaseSpec;

/**
 * Chooses the worker for a task.
 *
 * <p>Answers the load in which fill tasks share workers with tasks that serve: serving tasks
 * reserve far more processor time than they use, so fill tasks are admitted by the estimated use;
 * they go where processors are idle and where their image disturbs nobody. A fill task waits rather
 * than shares a processor that is taken already: starting it would only slow its neighbours by what
 * it gains.
 */
final class Placement {
  /** Least share of its processors that a fill task must find idle. */
  private static final double MIN_IDLE_SHARE_FOR_FILL = 0.75;

  /** Overload of a serving task from which a fill task waits for another worker. */
  private static final double MAX_OVERLOAD = 0.04;

  /** Weight of an overload of 1 against idle processors, in thousandths of a core. */
  private static final int OVERLOAD_PENALTY = 80_000;

  /** Weight of one more task of the same phase on a worker, in thousandths of a core. */
  private static final int SAME_PHASE_PENALTY = 2_000;

  /**
   * Weight of each serving task of another image on a worker, in thousandths of a core. Serving
   * tasks of one image bear and suffer the same neighbours: kept together they leave other workers
   * to the fill tasks that disturb them.
   */
  private static final int OTHER_IMAGE_PENALTY = 12_000;

  /** Weight of each serving task of the same image; more than the processor time that it uses. */
  private static final int SAME_IMAGE_BONUS = 8_000;

  /**
   * Weight of each image that would disturb a worker, in thousandths of a core, for fill tasks that
   * do not: they leave the workers without sensitive tasks to those that can go nowhere else.
   */
  private static final int DISTURBING_IMAGE_BONUS = 5_000;

  /** Weight of data on another rack: the task then takes longer, in thousandths of a core. */
  private static final int REMOTE_DATA_PENALTY = 16_000;

  private static final long REJECTED = Long.MIN_VALUE;

  private final InterferenceModel interference;
  private Set<String> withdrawnZones = Set.of();

  Placement(InterferenceModel interference) {
    this.interference = interference;
  }

  void withdrawZones(Set<String> zones) {
    withdrawnZones = zones;
  }

  /** Returns the best worker for one more task of the phase, or null if it fits none. */
  WorkerState choose(
      PhaseState phase, String service, Collection<WorkerState> workers, long nowMs) {
    WorkerState best = null;
    long bestScore = REJECTED;
    for (WorkerState worker : workers) {
      if (worker.registration.service().equals(service) && admits(worker, phase, nowMs)) {
        long score = score(worker, phase, nowMs);
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
        && !worker.registration.draining()
        && worker.suspendedUntilMs <= nowMs
        && !withdrawnZones.contains(worker.registration.zone());
  }

  private boolean admits(WorkerState worker, PhaseState phase, long nowMs) {
    PhaseSpec spec = phase.spec;
    if (!isUsable(worker, nowMs) || !fits(worker, spec)) {
      return false;
    }
    if (!spec.requiredLabel().isEmpty()
        && !worker.registration.labels().contains(spec.requiredLabel())) {
      return false;
    }
    return spec.maxPerWorker() == 0 || phase.tasksOn(worker) < spec.maxPerWorker();
  }

  private static boolean fits(WorkerState worker, PhaseSpec spec) {
    ResourceVector need = spec.need();
    if (spec.fillsIdleCpu()) {
      if (worker.idleCpuMillis() < need.cpuMillis() * MIN_IDLE_SHARE_FOR_FILL) {
        return false;
      }
      need = new ResourceVector(0, need.memoryMb(), need.accelerators());
    }
    return worker.reserved().plus(need).fitsIn(worker.registration.capacity());
  }

  /** Returns how well a serving task fits in with the serving tasks that a worker has. */
  private static long servingNeighbourScore(WorkerState worker, PhaseState phase) {
    long company = 0;
    for (Run run : worker.runs.values()) {
      PhaseState other = run.task.phase;
      if (other.spec.tailObjectiveMs() > 0) {
        company += other.imageKey.equals(phase.imageKey) ? SAME_IMAGE_BONUS : -OTHER_IMAGE_PENALTY;
      }
    }
    return company;
  }

  private long score(WorkerState worker, PhaseState phase, long nowMs) {
    PhaseSpec spec = phase.spec;
    long score = worker.idleCpuMillis();
    if (!spec.preferredRack().isEmpty()
        && !worker.registration.labels().contains(spec.preferredRack())) {
      score -= REMOTE_DATA_PENALTY;
    }
    if (spec.lasting()) {
      score -= (long) SAME_PHASE_PENALTY * phase.tasksOn(worker);
      score += servingNeighbourScore(worker, phase);
    } else if (spec.fillsIdleCpu()) {
      double overload = interference.overload(phase, worker, nowMs);
      score += (long) DISTURBING_IMAGE_BONUS * worker.disturbingImages;
      score = overload > MAX_OVERLOAD ? REJECTED : score - (long) (OVERLOAD_PENALTY * overload);
    }
    return score;
  }
}
