package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;

/**
 * A worker in virtual time: runs tasks, reports ended runs and measures tail latencies under
 * interference.
 */
final class SimulatedWorker {
  /** The clock in its registration; earlier than the start of every simulation. */
  static final long REGISTERED_CLOCK_MS = 900_000;

  /** Ends that are listed at a time. */
  static final int MAX_LISTED_ENDS = 500;

  private static final long EARLY_FAILURE_MS = 50;
  private static final double BASELINE_TAIL_MS = 4;
  private static final double DEFAULT_MEAN_LOAD = 0.42;
  private static final double DEFAULT_LOAD_AMPLITUDE = 0.21;
  private static final double LOAD_PERIOD_MS = 10_000;

  /** Distributes the phases of the load cycles evenly, as workers serve different users. */
  private static final double GOLDEN_RATIO = 0.618;

  private static final double MAX_PRESSURE = 0.98;

  /** Smoothing factor per step of 10 ms, equivalent to an average over half a second. */
  private static final double SMOOTHING = 0.04;

  /** Maximum relative error of a noisy measurement. */
  private static final double NOISE = 0.15;

  WorkerRegistration registration;
  final Map<TaskKey, SimulatedRun> running = new LinkedHashMap<>();
  final List<EndedRun> ended = new ArrayList<>();
  final Map<TaskKey, Integer> starts = new HashMap<>();

  /** Tasks that were started again after they had ended as done in the same life. */
  final Set<TaskKey> repeated = new HashSet<>();

  boolean unreachable;
  boolean startAnswersLost;

  /** Whether a run that is stopped goes on for longer than the test. */
  boolean stopsLate;

  boolean failing;

  /** Whether each run fails right after its start, and not at its end. */
  boolean failingEarly;

  /** How long the runs of some jobs last until they fail, by job id. */
  Map<String, Long> failAfterMs = Map.of();

  boolean stalled;

  /** Whether measurements are averaged and noisy, like those of the platform's workers. */
  boolean noisy;

  CommandReply startReply = CommandReply.OK;

  /** Mean of the serving tasks' own load, as pressure. */
  double meanLoad = DEFAULT_MEAN_LOAD;

  /** Difference between the peak and the mean of that load. */
  double loadAmplitude = DEFAULT_LOAD_AMPLITUDE;

  long leaseUntilMs;
  private long lastEndNumber;
  private long clockStartMs;
  private final Set<TaskKey> done = new HashSet<>();
  private final Random random;

  /** A run on the worker. */
  static final class SimulatedRun {
    final long number;
    final PhaseState phase;
    double remainingMs;
    final double durationMs;
    long ranMs;
    int cpuLimitPercent = 100;

    /** Share of its processor time in use, as reported: averaged if measurements are noisy. */
    double recentCpuShare = 1;

    /** Pressure on the run, averaged in the same way. */
    double recentPressure = DEFAULT_MEAN_LOAD;

    SimulatedRun(long number, PhaseState phase, double durationMs) {
      this.number = number;
      this.phase = phase;
      this.durationMs = durationMs;
      this.remainingMs = durationMs;
    }
  }

  SimulatedWorker(String id, int cores) {
    this.random = new Random(id.hashCode());
    this.registration =
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

  /** Starts again under its id: it knows nothing of before, and its clock and counts begin anew. */
  void restart(long nowMs) {
    registration = registration(false, registration.startedAtMs() + 1);
    running.clear();
    ended.clear();
    done.clear();
    lastEndNumber = 0;
    leaseUntilMs = 0;
    clockStartMs = nowMs;
    unreachable = false;
  }

  WorkerRegistration drainingRegistration() {
    return registration(true, registration.startedAtMs());
  }

  private WorkerRegistration registration(boolean draining, long startedAtMs) {
    return new WorkerRegistration(
        registration.id(),
        registration.service(),
        registration.address(),
        registration.zone(),
        draining,
        registration.capacity(),
        registration.labels(),
        startedAtMs,
        registration.clockMs());
  }

  CommandReply start(DispatchCommand.Start command, double durationMs) {
    if (unreachable) {
      return CommandReply.UNKNOWN;
    }
    if (startReply != CommandReply.OK) {
      return startReply;
    }
    PhaseState phase = command.run().task.phase;
    running.put(
        command.command().task(), new SimulatedRun(command.command().run(), phase, durationMs));
    starts.merge(command.command().task(), 1, Integer::sum);
    if (done.contains(command.command().task())) {
      repeated.add(command.command().task());
    }
    leaseUntilMs = Math.max(leaseUntilMs, command.leaseUntilMs());
    return startAnswersLost ? CommandReply.UNKNOWN : CommandReply.OK;
  }

  CommandReply stop(DispatchCommand.Stop command) {
    if (unreachable) {
      return CommandReply.UNKNOWN;
    }
    SimulatedRun run = running.get(command.task());
    if (run != null && run.number <= command.number() && !stopsLate) {
      end(command.task(), RunOutcome.STOPPED);
    }
    return CommandReply.OK;
  }

  void limitCpu(DispatchCommand.LimitCpu command) {
    SimulatedRun run = running.get(command.task());
    if (run != null) {
      run.cpuLimitPercent = command.percent();
    }
  }

  void end(TaskKey task, RunOutcome kind) {
    SimulatedRun run = running.remove(task);
    ended.add(new EndedRun(++lastEndNumber, task, run.number, kind, ""));
    if (kind == RunOutcome.DONE) {
      done.add(task);
    }
  }

  void advance(long nowMs, long stepMs, Disturbance disturbance) {
    if (leaseUntilMs != 0 && nowMs - clockStartMs > leaseUntilMs) {
      new ArrayList<>(running.keySet()).forEach(task -> end(task, RunOutcome.LEASE_LAPSED));
    }
    for (TaskKey task : new ArrayList<>(running.keySet())) {
      SimulatedRun run = running.get(task);
      double following = noisy ? SMOOTHING : 1;
      run.recentCpuShare += following * (run.cpuLimitPercent / 100.0 - run.recentCpuShare);
      if (run.phase.spec.tailObjectiveMs() > 0) {
        double pressure = pressure(run.phase, nowMs, disturbance);
        run.recentPressure += following * (pressure - run.recentPressure);
      }
      run.ranMs += stepMs;
      long failsMs =
          failingEarly ? EARLY_FAILURE_MS : failAfterMs.getOrDefault(task.jobId(), Long.MAX_VALUE);
      if (run.ranMs >= failsMs) {
        end(task, RunOutcome.FAILED);
      } else if (!run.phase.spec.lasting() && !stalled) {
        run.remainingMs -= stepMs * run.cpuLimitPercent / 100.0;
        if (run.remainingMs <= 0) {
          end(task, failing ? RunOutcome.FAILED : RunOutcome.DONE);
        }
      }
    }
  }

  void acknowledge(long number) {
    ended.removeIf(end -> end.sequenceNumber() <= number);
  }

  WorkerSnapshot snapshot(long nowMs) {
    List<ActiveRun> reports = new ArrayList<>();
    running.forEach(
        (task, run) -> {
          int percent =
              run.phase.spec.lasting() ? 100 : (int) (100 - 100 * run.remainingMs / run.durationMs);
          long recent =
              run.phase.spec.tailObjectiveMs() > 0
                  ? Math.round(addNoise(tail(run.recentPressure)))
                  : Math.round(addNoise(run.phase.spec.need().cpuMillis() * run.recentCpuShare));
          reports.add(new ActiveRun(task, run.number, "", percent, recent));
        });
    return new WorkerSnapshot(
        nowMs - clockStartMs,
        registration.startedAtMs(),
        reports,
        List.copyOf(ended.subList(0, Math.min(MAX_LISTED_ENDS, ended.size()))),
        ended.size() < MAX_LISTED_ENDS);
  }

  /** Defines by how much a fill image disturbs a serving image. */
  @FunctionalInterface
  interface Disturbance {
    double coefficient(String servingImage, String fillImage);
  }

  /** Returns whether any fill task works, at whatever CPU limit. */
  boolean hasWorkingFillTask() {
    return running.values().stream()
        .anyMatch(run -> run.phase.spec.fillsIdleCpu() && run.cpuLimitPercent > 0);
  }

  long tailMs(PhaseState serving, long nowMs, Disturbance disturbance) {
    return Math.round(tail(pressure(serving, nowMs, disturbance)));
  }

  private static double tail(double pressure) {
    return BASELINE_TAIL_MS / (1 - Math.min(MAX_PRESSURE, pressure));
  }

  private double addNoise(double value) {
    return noisy ? value * (1 + NOISE * (2 * random.nextDouble() - 1)) : value;
  }

  private double pressure(PhaseState serving, long nowMs, Disturbance disturbance) {
    double phase = registration.id().hashCode() * GOLDEN_RATIO;
    double pressure =
        meanLoad + loadAmplitude * Math.sin(2 * Math.PI * (nowMs / LOAD_PERIOD_MS + phase));
    for (SimulatedRun run : running.values()) {
      if (run.phase.spec.fillsIdleCpu()) {
        double share =
            run.phase.spec.need().cpuMillis()
                * run.cpuLimitPercent
                / 100.0
                / registration.capacity().cpuMillis();
        pressure += disturbance.coefficient(serving.imageKey, run.phase.imageKey) * share;
      }
    }
    return pressure;
  }
}
