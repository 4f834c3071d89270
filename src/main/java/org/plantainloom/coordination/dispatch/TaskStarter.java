package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.StartTaskCommand;

/** Starts ready tasks in the order of {@link PhaseRanking}, as far as workers have room. */
final class TaskStarter {
  /**
   * Maximum number of start commands in flight. Workers answer within 20 ms, so this allows a few
   * thousand starts per second. A node that has just started sends more slowly; its other starts
   * then wait here, where a cancellation still reaches them, instead of in the client's queue.
   */
  static final int MAX_UNANSWERED_STARTS = 48;

  /**
   * Of these, how many may be of tasks that keep failing while others wait. A job whose tasks fail
   * right after each start asks for starts without end.
   */
  static final int MAX_UNANSWERED_STARTS_OF_FAILING_TASKS = MAX_UNANSWERED_STARTS / 4;

  private static final long ROOM_SAMPLE_INTERVAL_MS = 100;

  /**
   * Wait after which a lasting task that has run may start on a suspended worker. The platform
   * tolerates 9 s without a run, of which the lease of a lost worker takes 6.4 s.
   */
  private static final long WAIT_BEFORE_SUSPENDED_WORKER_MS = 1_500;

  private final DispatchPolicy policy;
  private final DecisionLog log;
  private final RunLifecycle runs;
  private final Placement placement;
  private final ShortTaskReserve reserve;
  private final LastingTaskWaits lastingTaskWaits;
  private final JobsFreshness jobsFreshness;
  private int unansweredStarts;
  private int unansweredStartsOfFailingTasks;

  /** Starts of tasks that keep failing which are allowed in this round. */
  private int failingTasksLeft;

  private long roomSampledMs;
  private long jobsAgeMs;
  private final PhaseRanking ranking = new PhaseRanking(ClusterConfig.UNKNOWN);
  private ClusterConfig config = ClusterConfig.UNKNOWN;
  private boolean configCurrent = true;

  TaskStarter(
      DispatchPolicy policy,
      DecisionLog log,
      RunLifecycle runs,
      Placement placement,
      ShortTaskReserve reserve,
      JobsFreshness jobsFreshness) {
    this.jobsFreshness = jobsFreshness;
    this.reserve = reserve;
    this.policy = policy;
    this.log = log;
    this.runs = runs;
    this.placement = placement;
    this.lastingTaskWaits = new LastingTaskWaits(log, placement);
  }

  void configure(ClusterConfig newConfig) {
    config = newConfig;
    ranking.configure(newConfig);
  }

  /**
   * Sets whether the configuration and the withdrawn zones are recent enough. Nothing starts
   * otherwise: a queue may have been re-targeted or a zone withdrawn since.
   */
  void configCurrent(boolean current) {
    if (current != configCurrent) {
      configCurrent = current;
      log.logDecision(
          current ? "config-current" : "config-outdated",
          "config",
          "version=" + config.version() + " effect=" + (current ? "starting" : "no starts"));
    }
  }

  /**
   * Returns the start commands that are due now.
   *
   * @param takeover tells whether tasks of inherited jobs may start
   */
  List<DispatchCommand> start(
      Collection<JobState> open,
      Collection<WorkerState> workers,
      Takeover takeover,
      long nowMs,
      long wallMs) {
    if (!configCurrent) {
      return List.of();
    }
    jobsAgeMs = jobsFreshness.ageMs(nowMs, wallMs);
    sampleRoomIfDue(open, workers, nowMs);
    List<DispatchCommand> commands = new ArrayList<>();
    List<RankedPhase> ready = new ArrayList<>();
    double lastingCpuMillis = 0;
    int smallestWaitingCpuMillis = Integer.MAX_VALUE;
    boolean othersWait = false;
    for (JobState job : open) {
      job.openDue(wallMs);
      for (PhaseState phase : job.lastingPhases()) {
        // Held-back tasks count, so that unused room is known when they may start.
        if (phase.isReady(wallMs) && phase.hasTaskWithoutRun()) {
          int cpuMillis = Math.max(1, phase.spec.need().cpuMillis());
          smallestWaitingCpuMillis = Math.min(smallestWaitingCpuMillis, cpuMillis);
        }
      }
      if (!takeover.mayStart(job)) {
        continue;
      }
      lastingCpuMillis += lastingCpuMillis(job, wallMs);
      for (OccurrenceState occurrence : job.openOccurrences()) {
        for (PhaseState phase : occurrence.phases) {
          if (phase.isReady(wallMs) && phase.hasWaitingTask(nowMs)) {
            addRanked(phase, ready, nowMs, wallMs);
            othersWait = othersWait || phase.hasWaitingTask(nowMs, false);
          }
        }
      }
    }
    failingTasksLeft =
        othersWait
            ? MAX_UNANSWERED_STARTS_OF_FAILING_TASKS - unansweredStartsOfFailingTasks
            : MAX_UNANSWERED_STARTS;
    reserve.update(
        workers.stream().filter(worker -> placement.isUsable(worker, nowMs)).toList(),
        lastingCpuMillis,
        smallestWaitingCpuMillis,
        nowMs,
        wallMs);
    ready.sort((a, b) -> a.rank().compareTo(b.rank()));
    PlacementFailures failures = new PlacementFailures();
    for (RankedPhase next : ready) {
      if (unansweredStarts >= MAX_UNANSWERED_STARTS) {
        break;
      }
      startPhase(next.phase(), next.rank().first(), workers, failures, commands, takeover, nowMs);
    }
    lastingTaskWaits.observeIfDue(open, workers, takeover, this::serviceOf, nowMs, wallMs);
    return commands;
  }

  /** Returns what the lasting tasks of a job need that are due, whether they run or wait. */
  private static double lastingCpuMillis(JobState job, long wallMs) {
    if (!job.isLasting()) {
      return 0;
    }
    double cpuMillis = 0;
    for (PhaseSpec phase : job.spec.phases()) {
      if (phase.lasting()) {
        cpuMillis += (double) phase.count() * phase.need().cpuMillis();
      }
    }
    return cpuMillis * job.unfinishedDueCount(wallMs);
  }

  private void sampleRoomIfDue(
      Collection<JobState> open, Collection<WorkerState> workers, long nowMs) {
    if (nowMs - roomSampledMs < ROOM_SAMPLE_INTERVAL_MS) {
      return;
    }
    roomSampledMs = nowMs;
    Map<WorkerState, ResourceVector> reserved = new HashMap<>();
    workers.forEach(worker -> reserved.put(worker, worker.reservedByStarted()));
    for (JobState job : open) {
      for (PhaseState phase : job.lastingPhases()) {
        if (phase.hasTaskToRunAgain()) {
          phase.seenRoom.add(placement.hasVisibleRoom(phase, serviceOf(phase), reserved, nowMs));
        }
      }
    }
  }

  private void addRanked(PhaseState phase, List<RankedPhase> ready, long nowMs, long wallMs) {
    boolean mayBeAgain = phase.spec.lasting();
    if (mayBeAgain && !phase.waitingTasks(true, nowMs, 1).isEmpty()) {
      ready.add(new RankedPhase(ranking.rank(phase, true, wallMs), phase));
    }
    if (!mayBeAgain || !phase.waitingTasks(false, nowMs, 1).isEmpty()) {
      ready.add(new RankedPhase(ranking.rank(phase, false, wallMs), phase));
    }
  }

  /** Handles the answer to a start, or the loss of the answer. */
  void startAnswered(Run run) {
    unansweredStarts--;
    if (run.ofFailingTask) {
      unansweredStartsOfFailingTasks--;
    }
  }

  private String serviceOf(PhaseState phase) {
    return config.queue(phase.job.spec.queue()).map(q -> q.service()).orElse("");
  }

  private record RankedPhase(PhaseRanking.Rank rank, PhaseState phase) {}

  private void startPhase(
      PhaseState phase,
      boolean first,
      Collection<WorkerState> workers,
      PlacementFailures failures,
      List<DispatchCommand> commands,
      Takeover takeover,
      long nowMs) {
    String service = serviceOf(phase);
    boolean noRoom = failures.covers(phase, first, service);
    if (noRoom && !first) {
      return;
    }
    List<Run> started = new ArrayList<>();
    List<TaskState> waiting = phase.waitingTasks(first, nowMs, MAX_UNANSWERED_STARTS);
    long gangNumber = waiting.stream().mapToLong(runs::nextNumber).max().orElse(1);
    for (TaskState task : waiting) {
      if (!phase.spec.gang() && unansweredStarts + started.size() >= MAX_UNANSWERED_STARTS) {
        break;
      }
      if (!phase.spec.gang() && task.keepsFailing() && failingTasksLeft <= 0) {
        continue;
      }
      WorkerState worker = noRoom ? null : placement.choose(task, first, service, workers, nowMs);
      if (worker == null) {
        if (!noRoom && (!phase.spec.gang() || started.isEmpty())) {
          failures.add(phase, first, service);
        }
        noRoom = true;
        if (mayStartOnSuspendedWorker(task, first, nowMs)) {
          worker = placement.chooseSuspended(phase, service, workers, nowMs);
        }
        if (worker == null && first && !phase.spec.gang()) {
          // Another task of the phase may have waited for longer.
          continue;
        }
        if (worker == null) {
          break;
        }
      }
      if (phase.spec.lasting()) {
        reserve.lastingTaskStarted(worker);
      }
      long runNumber = phase.spec.gang() ? gangNumber : runs.nextNumber(task);
      Run run = runs.begin(task, worker, runNumber, nowMs);
      started.add(run);
      if (task.keepsFailing()) {
        run.ofFailingTask = true;
        failingTasksLeft--;
      }
    }
    if (phase.spec.gang() && started.size() < waiting.size()) {
      started.forEach(run -> runs.withdraw(run, "gang does not fit"));
      return;
    }
    unansweredStarts += started.size();
    unansweredStartsOfFailingTasks +=
        (int) started.stream().filter(run -> run.ofFailingTask).count();
    started.forEach(run -> commands.add(startCommand(run, takeover, nowMs)));
  }

  private boolean mayStartOnSuspendedWorker(TaskState task, boolean first, long nowMs) {
    return first && lastingTaskWaits.waitedMs(task, nowMs) >= WAIT_BEFORE_SUSPENDED_WORKER_MS;
  }

  /** Says why nothing of an earlier run of a task is left; empty if there was none. */
  private static String earlierRun(TaskState task, Takeover takeover, long nowMs) {
    if (task.lastConclusion.isPresent()) {
      return task.lastConclusion.get().logText(nowMs);
    }
    return task.phase.job.inherited ? " earlier=unknown" + takeover.logText(nowMs) : "";
  }

  private DispatchCommand startCommand(Run run, Takeover takeover, long nowMs) {
    WorkerState worker = run.worker;
    worker.leaseExtended(nowMs, policy.longestLeaseMs());
    log.logDecision(
        "run-ordered",
        run,
        "idleCpu="
            + worker.idleCpuMillis()
            + " runs="
            + worker.runs.size()
            + (worker.suspendedUntilMs > nowMs ? " suspended=true" : "")
            + " jobsAgeMs="
            + jobsAgeMs
            + lastingTaskWaits.startText(run.task, nowMs)
            + earlierRun(run.task, takeover, nowMs));
    StartTaskCommand command =
        new StartTaskCommand(
            run.task.key, run.number, run.task.phase.job.spec.payload(), run.task.checkpoint, "");
    return new DispatchCommand.Start(
        run, worker.registration, command, worker.life().clockAt(nowMs) + policy.leaseMs());
  }
}
