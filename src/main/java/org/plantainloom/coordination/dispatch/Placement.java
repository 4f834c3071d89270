package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.PhaseSpec;

/**
 * Chooses the worker for a task.
 *
 * <p>Fill tasks share workers with serving tasks. Serving tasks reserve far more processor time
 * than they use, so fill tasks are admitted by the estimated use instead of the reservation. They
 * are placed where processors are idle and where their image disturbs no serving task. A fill task
 * waits rather than shares a busy processor: starting it would slow its neighbours by as much as it
 * gains.
 *
 * <p>The worker with the highest score is chosen. Scores, bonuses and penalties are in thousandths
 * of a core.
 */
final class Placement {
  /** Minimum share of its processor need that a fill task must find idle. */
  private static final double MIN_IDLE_SHARE_FOR_FILL = 0.75;

  /** Total lack of slack of a worker's serving tasks above which no fill task is placed there. */
  private static final double MAX_OVERLOAD = 0.1;

  /** Penalty for a total lack of slack of 1. */
  private static final int OVERLOAD_PENALTY = 16_000;

  /** Penalty for each task of the same phase on the worker, which spreads lasting tasks. */
  private static final int SAME_PHASE_PENALTY = 2_000;

  /**
   * Penalty for each serving task of another image on the worker. Serving tasks of one image are
   * sensitive to the same fill tasks: grouped together, they leave other workers to the fill tasks
   * that disturb them.
   */
  private static final int OTHER_IMAGE_PENALTY = 12_000;

  /** Bonus for each serving task of the same image; exceeds the processor time that it uses. */
  private static final int SAME_IMAGE_BONUS = 8_000;

  /**
   * Bonus for a fill task that the worker's serving tasks tolerate, for each fill image that they
   * do not tolerate. It keeps workers without sensitive tasks free for the fill tasks that can go
   * nowhere else.
   */
  private static final int DISTURBING_IMAGE_BONUS = 5_000;

  /** Penalty for data on another rack, which makes the task take longer. */
  private static final int REMOTE_DATA_PENALTY = 16_000;

  /** Penalty for a lasting task on a worker that is kept for short ones; exceeds all others. */
  private static final int KEPT_WORKER_PENALTY = 1_000_000;

  /** Penalty for the worker on which the task has failed last; exceeds all but the one above. */
  private static final int FAILED_WORKER_PENALTY = 500_000;

  private static final long REJECTED = Long.MIN_VALUE;

  private final InterferenceModel interference;
  private final ShortTaskReserve reserve;
  private Set<String> withdrawnZones = Set.of();

  Placement(InterferenceModel interference, ShortTaskReserve reserve) {
    this.interference = interference;
    this.reserve = reserve;
  }

  void withdrawZones(Set<String> zones) {
    withdrawnZones = zones;
  }

  /**
   * Returns the best worker for a task, or null if it fits on none.
   *
   * @param first whether the task goes before all others, and no worker is kept free of it
   */
  WorkerState choose(
      TaskState task, boolean first, String service, Collection<WorkerState> workers, long nowMs) {
    PhaseState phase = task.phase;
    WorkerState best = null;
    long bestScore = REJECTED;
    for (WorkerState worker : workers) {
      if (worker.registration.service().equals(service) && admits(worker, phase, first, nowMs)) {
        long score = score(worker, phase, nowMs);
        if (score != REJECTED && worker == task.lastFailedOn) {
          score -= FAILED_WORKER_PENALTY;
        }
        if (score > bestScore) {
          best = worker;
          bestScore = score;
        }
      }
    }
    return best;
  }

  /** Returns whether a lasting task would fit on a worker that is kept for short tasks. */
  boolean fitsOnKeptWorker(
      PhaseState phase, String service, Collection<WorkerState> workers, long nowMs) {
    return workers.stream()
        .anyMatch(
            worker ->
                worker.registration.service().equals(service)
                    && reserve.isClosedToLasting(worker)
                    && admitsUnreserved(worker, phase, nowMs));
  }

  /**
   * Returns a suspended worker with room for one more lasting task that has run, or null if there
   * is none. A suspension rests on a suspicion, and outlasts what caused it.
   */
  WorkerState chooseSuspended(
      PhaseState phase, String service, Collection<WorkerState> workers, long nowMs) {
    return workers.stream()
        .filter(worker -> worker.registration.service().equals(service))
        .filter(worker -> worker.suspendedUntilMs > nowMs && isSound(worker, nowMs))
        .filter(worker -> hasRoom(worker, phase.spec) && meetsConstraints(worker, phase))
        .max(Comparator.comparingInt(WorkerState::idleCpuMillis))
        .orElse(null);
  }

  /**
   * Returns whether there is room for one more lasting task, as an observer sees it: also on
   * suspended workers, and where only starts are on their way.
   *
   * @param reserved what is reserved on each worker
   */
  boolean hasVisibleRoom(
      PhaseState phase, String service, Map<WorkerState, ResourceVector> reserved, long nowMs) {
    return reserved.entrySet().stream()
        .anyMatch(
            entry -> {
              WorkerState worker = entry.getKey();
              return worker.registration.service().equals(service)
                  && isSound(worker, nowMs)
                  && entry.getValue().plus(phase.spec.need()).fitsIn(worker.registration.capacity())
                  && meetsConstraints(worker, phase);
            });
  }

  /** Returns whether any new task may start on a worker. */
  boolean isUsable(WorkerState worker, long nowMs) {
    return worker.suspendedUntilMs <= nowMs && isSound(worker, nowMs);
  }

  /** Returns whether new tasks may start on a worker, but for a suspension. */
  private boolean isSound(WorkerState worker, long nowMs) {
    return worker.registered
        && worker.isRegisteredInLife()
        && worker.persisted
        && worker.possibleTasks.isEmpty()
        && !worker.unreachable
        && !worker.registration.draining()
        && worker.unknownRunUntilMs <= nowMs
        && !withdrawnZones.contains(worker.registration.zone());
  }

  private boolean admits(WorkerState worker, PhaseState phase, boolean first, long nowMs) {
    return !(phase.spec.lasting() && !first && reserve.isClosedToLasting(worker))
        && admitsUnreserved(worker, phase, nowMs);
  }

  private boolean admitsUnreserved(WorkerState worker, PhaseState phase, long nowMs) {
    return isUsable(worker, nowMs)
        && hasRoom(worker, phase.spec)
        && meetsConstraints(worker, phase);
  }

  private static boolean meetsConstraints(WorkerState worker, PhaseState phase) {
    PhaseSpec spec = phase.spec;
    if (!spec.requiredLabel().isEmpty()
        && !worker.registration.labels().contains(spec.requiredLabel())) {
      return false;
    }
    return spec.maxPerWorker() == 0 || phase.tasksOn(worker) < spec.maxPerWorker();
  }

  private static boolean hasRoom(WorkerState worker, PhaseSpec spec) {
    ResourceVector need = spec.need();
    if (spec.fillsIdleCpu()) {
      if (worker.idleCpuMillis() < need.cpuMillis() * MIN_IDLE_SHARE_FOR_FILL) {
        return false;
      }
      need = new ResourceVector(0, need.memoryMb(), need.accelerators());
    }
    return worker.reserved().plus(need).fitsIn(worker.registration.capacity());
  }

  /** Returns the bonuses and penalties for the serving tasks that already run on the worker. */
  private static long servingNeighbourScore(WorkerState worker, PhaseState phase) {
    long score = 0;
    for (Run run : worker.runs.values()) {
      PhaseState other = run.task.phase;
      if (other.spec.tailObjectiveMs() > 0) {
        score += other.imageKey.equals(phase.imageKey) ? SAME_IMAGE_BONUS : -OTHER_IMAGE_PENALTY;
      }
    }
    return score;
  }

  private long score(WorkerState worker, PhaseState phase, long nowMs) {
    PhaseSpec spec = phase.spec;
    long score = worker.idleCpuMillis();
    if (!spec.preferredRack().isEmpty()
        && !worker.registration.labels().contains(spec.preferredRack())) {
      score -= REMOTE_DATA_PENALTY;
    }
    if (spec.lasting()) {
      score -= reserve.isKept(worker) ? KEPT_WORKER_PENALTY : 0;
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
