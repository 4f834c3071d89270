package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the CPU of fill tasks beside a serving task whose tail latency would exceed its objective.
 *
 * <p>The load of serving tasks, and with it the interference that they tolerate, changes within
 * seconds. Fill tasks of images that are known to disturb a serving task share the slack that it
 * can still lose. If a tail stays above its objective although no such image is known, all fill
 * tasks on the worker are slowed, and paused before the excess has lasted as long as the platform
 * tolerates.
 */
final class TailLatencyController {
  /** Smaller changes of a limit are not worth a command. */
  private static final int MIN_CHANGE_PERCENT = 12;

  private static final int STEP_PERCENT = 10;

  /** Workers measure over half a second; a changed limit shows only in the measurement after it. */
  private static final long MEASUREMENT_WINDOW_MS = 500;

  /** A tail above its objective for this long slows all fill tasks on the worker. */
  private static final long SLOW_ALL_AFTER_MS = 1_000;

  /** A tail above its objective for this long pauses all fill tasks on the worker. */
  private static final long HALT_ALL_AFTER_MS = 2_000;

  private static final int SLOWED_CPU_PERCENT = 40;

  /**
   * Slack above which an excess has ended. Measurements err by about a tenth, so that during an
   * excess single ones lie below the objective.
   */
  private static final double RECOVERED_SLACK = 1.1;

  /** CPU limit at or below which a fill task with checkpoints is better moved to another worker. */
  private static final int STARVED_CPU_PERCENT = 15;

  /** Time at such a limit after which the fill task is stopped, to resume elsewhere. */
  private static final long MIGRATE_AFTER_MS = 900;

  /**
   * Interval of the figures from which the model of interference learns where no tail latency is
   * controlled; polls that follow faster repeat parts of the half second that they cover.
   */
  private static final long OBSERVATION_INTERVAL_MS = 1_000;

  private final InterferenceModel interference;

  TailLatencyController(InterferenceModel interference) {
    this.interference = interference;
  }

  /**
   * Handles a fresh poll: returns the changes of CPU limits, unless it follows too fast to tell.
   */
  List<DispatchCommand> adjustCpuLimitsIfDue(WorkerState worker, long nowMs) {
    if (!appliesTo(worker) && nowMs < worker.nextObservationMs) {
      return List.of();
    }
    worker.nextObservationMs = nowMs + OBSERVATION_INTERVAL_MS;
    return adjustCpuLimits(worker, nowMs);
  }

  /** Updates the interference model from a fresh poll and returns the changes of CPU limits. */
  List<DispatchCommand> adjustCpuLimits(WorkerState worker, long nowMs) {
    interference.observe(worker, nowMs);
    worker.disturbingImages = interference.countDisturbingImages(worker);
    List<Run> serving = new ArrayList<>();
    List<Run> fill = new ArrayList<>();
    for (Run run : worker.runs.values()) {
      if (InterferenceModel.isServing(run)) {
        trackExcess(run, nowMs);
        serving.add(run);
      } else if (run.task.phase.spec.fillsIdleCpu() && run.stage == Run.Stage.RUNNING) {
        fill.add(run);
      }
    }
    List<DispatchCommand> commands = new ArrayList<>();
    for (Run run : fill) {
      int limitPercent = 100;
      for (Run neighbour : serving) {
        limitPercent = Math.min(limitPercent, cpuLimitBeside(run, neighbour, fill, worker, nowMs));
      }
      if (isStarved(run, limitPercent, nowMs)) {
        run.stop();
      } else {
        requestCpuLimit(run, limitPercent, commands, nowMs);
      }
    }
    return commands;
  }

  /** Returns whether a fill task with checkpoints has been almost paused for a while. */
  private static boolean isStarved(Run run, int limitPercent, long nowMs) {
    if (limitPercent > STARVED_CPU_PERCENT || !run.task.phase.spec.checkpointing()) {
      run.starvedSinceMs = 0;
    } else if (run.starvedSinceMs == 0) {
      run.starvedSinceMs = nowMs;
    }
    return run.starvedSinceMs != 0 && nowMs - run.starvedSinceMs >= MIGRATE_AFTER_MS;
  }

  /** Tracks an excess; it ends only when the tail is clearly below its objective again. */
  private static void trackExcess(Run run, long nowMs) {
    double slack = InterferenceModel.slack(run);
    if (slack >= RECOVERED_SLACK) {
      run.tailExceededSinceMs = 0;
    } else if (slack < 1 && run.tailExceededSinceMs == 0) {
      run.tailExceededSinceMs = nowMs;
    }
  }

  private int cpuLimitBeside(
      Run run, Run neighbour, List<Run> fill, WorkerState worker, long nowMs) {
    long excessMs = neighbour.tailExceededSinceMs == 0 ? 0 : nowMs - neighbour.tailExceededSinceMs;
    if (excessMs >= HALT_ALL_AFTER_MS) {
      return 0;
    }
    int limitPercent = excessMs >= SLOW_ALL_AFTER_MS ? SLOWED_CPU_PERCENT : 100;
    if (interference.unlimitedLoss(neighbour, run.task.phase, worker) == 0) {
      return limitPercent;
    }
    double unlimitedTotal = 0;
    for (Run other : fill) {
      unlimitedTotal += interference.unlimitedLoss(neighbour, other.task.phase, worker);
    }
    double remaining = Math.max(0, interference.remainingSlack(neighbour, worker));
    return Math.min(limitPercent, (int) (100 * Math.min(1, remaining / unlimitedTotal)));
  }

  private static void requestCpuLimit(
      Run run, int targetPercent, List<DispatchCommand> commands, long nowMs) {
    boolean pending =
        run.requestedCpuLimitPercent != run.cpuLimitPercent
            || nowMs - run.cpuLimitChangedMs < MEASUREMENT_WINDOW_MS;
    int limitPercent = targetPercent >= 100 ? 100 : targetPercent / STEP_PERCENT * STEP_PERCENT;
    int change = Math.abs(limitPercent - run.requestedCpuLimitPercent);
    boolean isExtreme = limitPercent == 100 || limitPercent == 0;
    if (pending || change == 0 || (change < MIN_CHANGE_PERCENT && !isExtreme)) {
      return;
    }
    run.requestedCpuLimitPercent = limitPercent;
    run.lastProgressMs = nowMs;
    commands.add(
        new DispatchCommand.LimitCpu(
            run.worker.registration, run.task.key, run.number, limitPercent));
  }

  /** Returns whether a worker runs both fill tasks and serving tasks with a tail objective. */
  static boolean appliesTo(WorkerState worker) {
    boolean serving = false;
    boolean fill = false;
    for (Run run : worker.runs.values()) {
      serving |= run.task.phase.spec.tailObjectiveMs() > 0;
      fill |= run.task.phase.spec.fillsIdleCpu();
    }
    return serving && fill;
  }
}
