package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.StartTaskCommand;

/** Starts what is ready, in the order of waiting, where there is room. */
final class TaskStarter {
  /**
   * Most starts without an answer. A worker answers within 20 ms, so that this allows some thousand
   * starts a second; a node that has just begun and sends more slowly keeps the rest here, where a
   * cancellation still reaches them, and not on the way.
   */
  static final int MAX_UNANSWERED_STARTS = 48;

  private final DispatchPolicy policy;
  private final DecisionLog log;
  private final RunLifecycle runs;
  private final Placement placement;
  private int unansweredStarts;
  private final PhaseRanking ranking = new PhaseRanking(ClusterConfig.UNKNOWN);
  private ClusterConfig config = ClusterConfig.UNKNOWN;

  TaskStarter(DispatchPolicy policy, DecisionLog log, RunLifecycle runs, Placement placement) {
    this.policy = policy;
    this.log = log;
    this.runs = runs;
    this.placement = placement;
  }

  void configure(ClusterConfig newConfig) {
    config = newConfig;
    ranking.configure(newConfig);
  }

  /**
   * Returns the starts that are due now, in the order of waiting.
   *
   * @param caughtUp whether inherited jobs may start tasks
   */
  List<DispatchCommand> start(
      Collection<JobState> open,
      Collection<WorkerState> workers,
      boolean caughtUp,
      long nowMs,
      long wallMs) {
    List<DispatchCommand> commands = new ArrayList<>();
    List<RankedPhase> ready = new ArrayList<>();
    for (JobState job : open) {
      if (!caughtUp && job.inherited) {
        continue;
      }
      for (List<PhaseState> phases : job.occurrences) {
        for (PhaseState phase : phases) {
          if (phase.isReady(wallMs) && phase.hasWaitingTask(nowMs)) {
            ready.add(new RankedPhase(ranking.rank(phase, wallMs), phase));
          }
        }
      }
    }
    ready.sort((a, b) -> a.rank().compareTo(b.rank()));
    PlacementFailures full = new PlacementFailures();
    for (RankedPhase next : ready) {
      if (unansweredStarts >= MAX_UNANSWERED_STARTS) {
        break;
      }
      startPhase(next.phase(), workers, full, commands, nowMs);
    }
    return commands;
  }

  /** Takes note that a start was answered, or that its answer will not come. */
  void startAnswered() {
    unansweredStarts--;
  }

  private record RankedPhase(PhaseRanking.Rank rank, PhaseState phase) {}

  private void startPhase(
      PhaseState phase,
      Collection<WorkerState> workers,
      PlacementFailures full,
      List<DispatchCommand> commands,
      long nowMs) {
    JobState job = phase.job;
    String service = config.queue(job.spec.queue()).map(q -> q.service()).orElse("");
    if (full.covers(phase, service)) {
      return;
    }
    JobStatus before = job.status;
    List<Run> begun = new ArrayList<>();
    List<TaskState> waiting = phase.waitingTasks(nowMs);
    long number = waiting.stream().mapToLong(runs::nextNumber).max().orElse(1);
    for (TaskState task : waiting) {
      if (!phase.spec.gang() && unansweredStarts + begun.size() >= MAX_UNANSWERED_STARTS) {
        break;
      }
      WorkerState worker = placement.choose(phase, service, workers, nowMs);
      if (worker == null) {
        if (!phase.spec.gang() || begun.isEmpty()) {
          full.add(phase, service);
        }
        break;
      }
      long own = phase.spec.gang() ? number : runs.nextNumber(task);
      begun.add(runs.begin(task, worker, own, nowMs));
    }
    if (phase.spec.gang() && begun.size() < waiting.size()) {
      begun.forEach(run -> runs.drop(run, "gang does not fit"));
      job.status = before;
      return;
    }
    unansweredStarts += begun.size();
    begun.forEach(run -> commands.add(startCommand(run, nowMs)));
  }

  private DispatchCommand startCommand(Run run, long nowMs) {
    WorkerState worker = run.worker;
    worker.leaseExtended(nowMs, policy);
    log.logDecision(
        "run-ordered", run, "idleCpu=" + worker.idleCpuMillis() + " runs=" + worker.runs.size());
    StartTaskCommand command =
        new StartTaskCommand(
            run.task.key, run.number, run.task.phase.job.spec.payload(), run.task.checkpoint, "");
    return new DispatchCommand.Start(
        run, worker.registration, command, worker.clockAt(nowMs) + policy.leaseMs());
  }
}
