package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;

/** A worker in virtual time: runs tasks, lists their ends, measures tails under disturbance. */
final class ModelWorker {
  /** The clock with which it registered; it lies before all sessions. */
  static final long REGISTERED_CLOCK_MS = 900_000;

  private static final double CALM_TAIL_MS = 4;
  private static final double MEAN_LOAD = 0.42;
  private static final double SWING = 0.21;
  private static final double SWING_MS = 10_000;

  /** Spreads the swings of workers evenly, as their users are not the same. */
  private static final double GOLDEN_RATIO = 0.618;

  private static final double MOST_PRESSURE = 0.98;

  /** Part of the way that a figure follows in one step of 10 ms: an average over half a second. */
  private static final double FOLLOWING = 0.04;

  /** Figures are rough by this part of them. */
  private static final double ROUGHNESS = 0.15;

  final WorkerRegistration entry;
  final Map<TaskKey, ModelRun> running = new LinkedHashMap<>();
  final List<EndedRun> ended = new ArrayList<>();
  final Map<TaskKey, Integer> starts = new HashMap<>();
  boolean silent;
  boolean mute;
  boolean failing;
  boolean standstill;

  /** Whether its figures are averages and rough, as those of the platform's workers are. */
  boolean rough;

  CommandReply refusal = CommandReply.OK;
  long leaseUntilMs;
  private long lastEnd;
  private final Random random;

  /** A run at the worker. */
  static final class ModelRun {
    final long number;
    final PhaseState phase;
    double workLeftMs;
    final double workMs;
    int pace = 100;

    /** Share of its processor time in use, as workers tell it: averaged over the last while. */
    double recentPace = 1;

    /** Pressure that it bears, averaged in the same way. */
    double recentPressure = MEAN_LOAD;

    ModelRun(long number, PhaseState phase, double workMs) {
      this.number = number;
      this.phase = phase;
      this.workMs = workMs;
      this.workLeftMs = workMs;
    }
  }

  ModelWorker(String id, int cores) {
    this.random = new Random(id.hashCode());
    this.entry =
        new WorkerRegistration(
            id,
            "service",
            id + ":1",
            "zone-1",
            false,
            new ResourceVector(cores * 1_000, cores * 4_000, 0),
            List.of("a", "r1"),
            7,
            REGISTERED_CLOCK_MS);
  }

  WorkerRegistration draining() {
    return new WorkerRegistration(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.zone(),
        true,
        entry.capacity(),
        entry.labels(),
        entry.startedAtMs(),
        entry.clockMs());
  }

  CommandReply start(DispatchCommand.Start order, double workMs) {
    if (silent) {
      return CommandReply.UNKNOWN;
    }
    if (refusal != CommandReply.OK) {
      return refusal;
    }
    PhaseState phase = order.run().task.phase;
    running.put(order.command().task(), new ModelRun(order.command().run(), phase, workMs));
    starts.merge(order.command().task(), 1, Integer::sum);
    leaseUntilMs = Math.max(leaseUntilMs, order.leaseUntilMs());
    return mute ? CommandReply.UNKNOWN : CommandReply.OK;
  }

  CommandReply stop(DispatchCommand.Stop order) {
    if (silent) {
      return CommandReply.UNKNOWN;
    }
    ModelRun run = running.get(order.task());
    if (run != null && run.number <= order.number()) {
      end(order.task(), RunOutcome.STOPPED);
    }
    return CommandReply.OK;
  }

  void pace(DispatchCommand.LimitCpu order) {
    ModelRun run = running.get(order.task());
    if (run != null) {
      run.pace = order.percent();
    }
  }

  void end(TaskKey task, RunOutcome kind) {
    ModelRun run = running.remove(task);
    ended.add(new EndedRun(++lastEnd, task, run.number, kind, ""));
  }

  void work(long nowMs, long stepMs, Disturbance disturbance) {
    if (leaseUntilMs != 0 && nowMs > leaseUntilMs) {
      new ArrayList<>(running.keySet()).forEach(task -> end(task, RunOutcome.LEASE_LAPSED));
    }
    for (TaskKey task : new ArrayList<>(running.keySet())) {
      ModelRun run = running.get(task);
      double following = rough ? FOLLOWING : 1;
      run.recentPace += following * (run.pace / 100.0 - run.recentPace);
      if (run.phase.spec.tailObjectiveMs() > 0) {
        double pressure = pressure(run.phase, nowMs, disturbance);
        run.recentPressure += following * (pressure - run.recentPressure);
      }
      if (!run.phase.spec.lasting() && !standstill) {
        run.workLeftMs -= stepMs * run.pace / 100.0;
        if (run.workLeftMs <= 0) {
          end(task, failing ? RunOutcome.FAILED : RunOutcome.DONE);
        }
      }
    }
  }

  void acknowledge(long number) {
    ended.removeIf(end -> end.sequenceNumber() <= number);
  }

  WorkerSnapshot look(long nowMs) {
    List<ActiveRun> rows = new ArrayList<>();
    running.forEach(
        (task, run) -> {
          int percent =
              run.phase.spec.lasting() ? 100 : (int) (100 - 100 * run.workLeftMs / run.workMs);
          long recent =
              run.phase.spec.tailObjectiveMs() > 0
                  ? Math.round(rough(tail(run.recentPressure)))
                  : Math.round(rough(run.phase.spec.need().cpuMillis() * run.recentPace));
          rows.add(new ActiveRun(task, run.number, "", percent, recent));
        });
    return new WorkerSnapshot(nowMs, 7, rows, List.copyOf(ended));
  }

  /** By how much a fill image disturbs a serving image. */
  @FunctionalInterface
  interface Disturbance {
    double coefficient(String servingImage, String fillImage);
  }

  long tailMs(PhaseState serving, long nowMs, Disturbance disturbance) {
    return Math.round(tail(pressure(serving, nowMs, disturbance)));
  }

  private static double tail(double pressure) {
    return CALM_TAIL_MS / (1 - Math.min(MOST_PRESSURE, pressure));
  }

  private double rough(double figure) {
    return rough ? figure * (1 + ROUGHNESS * (2 * random.nextDouble() - 1)) : figure;
  }

  private double pressure(PhaseState serving, long nowMs, Disturbance disturbance) {
    double phase = entry.id().hashCode() * GOLDEN_RATIO;
    double pressure = MEAN_LOAD + SWING * Math.sin(2 * Math.PI * (nowMs / SWING_MS + phase));
    for (ModelRun run : running.values()) {
      if (run.phase.spec.fillsIdleCpu()) {
        double share =
            run.phase.spec.need().cpuMillis() * run.pace / 100.0 / entry.capacity().cpuMillis();
        pressure += disturbance.coefficient(serving.imageKey, run.phase.imageKey) * share;
      }
    }
    return pressure;
  }
}
