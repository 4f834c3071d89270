package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PhaseSpec;

/**
 * Keeps room on some workers for short tasks, which lasting tasks would otherwise take for good.
 *
 * <p>Load pattern: lasting jobs ask for more than all workers have, while short jobs of the same
 * priority arrive in a stream that needs a small part of it. A short task returns its room within
 * seconds, a lasting one only when its job is cancelled. Without a reserve, lasting tasks take all
 * room that becomes free, and short jobs, the wide ones first, wait until they are worthless.
 *
 * <p>The reserve follows the processor time that short jobs have asked for lately. It is kept on
 * whole workers, as a rest of room on each worker would be too small for a large task.
 *
 * <p>A lasting task must not wait beside room that nobody uses: the platform allows that for three
 * seconds. What short tasks have left unused at every moment of two periods is therefore given up,
 * but for the place of one lasting task. Room that short tasks fill now and then stays theirs.
 */
final class ShortTaskReserve {
  /** Time over which the demand of short jobs is averaged. */
  private static final double AVERAGING_MS = 10_000;

  /** Shortest history from which a rate is computed, so that the first job is no burst. */
  private static final double MIN_HISTORY_MS = 3_000;

  /** Reserve in multiples of the average demand; jobs arrive irregularly and differ in width. */
  private static final double PEAK_FACTOR = 2;

  /** Largest share of the workers' processors that is reserved. */
  private static final double MAX_SHARE = 0.25;

  /** Room is given up when it was unused for two whole periods, so after 2.1 s at the latest. */
  private static final long USE_PERIOD_MS = 700;

  private double demandCpuMillisMs;
  private long demandAsOfMs;
  private long firstAcceptedMs = Long.MAX_VALUE;
  private Set<WorkerState> keptWorkers = Set.of();
  private boolean lastingTasksFit = true;
  private long periodStartMs;

  /** Fewest places for lasting tasks that the kept workers had at any time of this period. */
  private int fewestPlaces;

  /** The same of the period before. */
  private int fewestPlacesBefore;

  /** Lasting tasks that may still start on kept workers. */
  private int givenUpPlaces;

  /** Takes account of an accepted job, also of one that a previous owner knew. */
  void jobAccepted(JobSpec job) {
    firstAcceptedMs = Math.min(firstAcceptedMs, job.acceptedMs());
    double demand = 0;
    for (PhaseSpec phase : job.phases()) {
      if (isShort(phase)) {
        demand += (double) phase.count() * phase.need().cpuMillis() * phase.estimateMs();
      }
    }
    if (demand > 0) {
      decayTo(Math.max(demandAsOfMs, job.acceptedMs()));
      demandCpuMillisMs += demand * decay(demandAsOfMs - job.acceptedMs());
    }
  }

  private static boolean isShort(PhaseSpec phase) {
    return !phase.lasting() && !phase.fillsIdleCpu();
  }

  private void decayTo(long wallMs) {
    demandCpuMillisMs *= decay(wallMs - demandAsOfMs);
    demandAsOfMs = wallMs;
  }

  private static double decay(long elapsedMs) {
    return Math.exp(-Math.max(0, elapsedMs) / AVERAGING_MS);
  }

  /** Returns the processor time to keep free of lasting tasks, in thousandths of a core. */
  double reservedCpuMillis(long wallMs) {
    if (demandCpuMillisMs == 0) {
      return 0;
    }
    double historyMs = Math.max(MIN_HISTORY_MS, (double) (wallMs - firstAcceptedMs));
    double observedMs = AVERAGING_MS * (1 - Math.exp(-historyMs / AVERAGING_MS));
    return PEAK_FACTOR * demandCpuMillisMs * decay(wallMs - demandAsOfMs) / observedMs;
  }

  /**
   * Chooses the workers that are kept free. Those with the fewest lasting tasks come first, so the
   * choice is stable: no other worker gets fewer.
   *
   * @param usable workers that may get tasks
   * @param lastingCpuMillis what all lasting tasks, running or waiting, need
   * @param smallestWaitingCpuMillis what the smallest lasting task without a run needs, also if it
   *     is held back; the largest value if there is none
   */
  void update(
      Collection<WorkerState> usable,
      double lastingCpuMillis,
      int smallestWaitingCpuMillis,
      long nowMs,
      long wallMs) {
    double capacity = usable.stream().mapToDouble(ShortTaskReserve::cpuMillis).sum();
    double reserve = Math.min(reservedCpuMillis(wallMs), MAX_SHARE * capacity);
    lastingTasksFit = lastingCpuMillis + reserve <= capacity;
    List<WorkerState> candidates = new ArrayList<>(usable);
    candidates.sort(
        Comparator.comparingInt(WorkerState::lastingCpuMillis).thenComparing(WorkerState::id));
    Set<WorkerState> kept = new HashSet<>();
    for (WorkerState worker : candidates) {
      if (reserve <= 0) {
        break;
      }
      kept.add(worker);
      reserve -= cpuMillis(worker) - worker.lastingCpuMillis();
    }
    keptWorkers = kept;
    giveUpUnused(smallestWaitingCpuMillis, nowMs);
  }

  private void giveUpUnused(int waitingCpuMillis, long nowMs) {
    int places = 0;
    if (waitingCpuMillis < Integer.MAX_VALUE) {
      for (WorkerState worker : keptWorkers) {
        double free = cpuMillis(worker) - worker.reserved().cpuMillis();
        places += (int) Math.max(0, free / waitingCpuMillis);
      }
    }
    fewestPlaces = Math.min(fewestPlaces, places);
    if (nowMs - periodStartMs >= USE_PERIOD_MS) {
      givenUpPlaces = Math.max(0, Math.min(fewestPlaces, fewestPlacesBefore) - 1);
      fewestPlacesBefore = fewestPlaces;
      fewestPlaces = Integer.MAX_VALUE;
      periodStartMs = nowMs;
    }
  }

  /** Takes account of the start of a lasting task. */
  void lastingTaskStarted(WorkerState worker) {
    if (keptWorkers.contains(worker)) {
      givenUpPlaces--;
      fewestPlacesBefore = Math.max(0, fewestPlacesBefore - 1);
    }
  }

  private static double cpuMillis(WorkerState worker) {
    return worker.registration.capacity().cpuMillis();
  }

  /** Returns whether lasting tasks should go elsewhere as long as there is room. */
  boolean isKept(WorkerState worker) {
    return keptWorkers.contains(worker);
  }

  /** Returns whether no lasting task may start on a worker. */
  boolean isClosedToLasting(WorkerState worker) {
    return !lastingTasksFit && givenUpPlaces <= 0 && keptWorkers.contains(worker);
  }
}
