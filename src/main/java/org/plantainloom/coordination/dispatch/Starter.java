package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.StartTaskCommand;

/** Starts what is ready, in the order of waiting, where there is room. */
final class Starter {
  /**
   * Most starts without an answer. A worker answers within 20 ms, so that this allows some thousand
   * starts a second; a node that has just begun and sends more slowly keeps the rest here, where a
   * cancellation still reaches them, and not on the way.
   */
  static final int MOST_UNANSWERED = 48;

  private final DispatchPolicy policy;
  private final DecisionLog log;
  private final RunTable runs;
  private final Placement placement;
  private int unanswered;
  private final WaitingOrder waitingOrder = new WaitingOrder(ClusterConfig.UNKNOWN);
  private ClusterConfig config = ClusterConfig.UNKNOWN;

  Starter(DispatchPolicy policy, DecisionLog log, RunTable runs, Placement placement) {
    this.policy = policy;
    this.log = log;
    this.runs = runs;
    this.placement = placement;
  }

  void configure(ClusterConfig newConfig) {
    config = newConfig;
    waitingOrder.configChanged(newConfig);
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
    List<DispatchCommand> orders = new ArrayList<>();
    List<Ranked> ready = new ArrayList<>();
    for (JobState job : open) {
      if (!caughtUp && job.inherited) {
        continue;
      }
      for (List<PhaseState> phases : job.occurrences) {
        for (PhaseState phase : phases) {
          if (phase.isReady(wallMs) && phase.hasWaiting(nowMs)) {
            ready.add(new Ranked(waitingOrder.rank(phase, wallMs), phase));
          }
        }
      }
    }
    ready.sort((a, b) -> a.rank().compareTo(b.rank()));
    FullFleet full = new FullFleet();
    for (Ranked next : ready) {
      if (unanswered >= MOST_UNANSWERED) {
        break;
      }
      startPhase(next.phase(), workers, full, orders, nowMs);
    }
    return orders;
  }

  /** Takes note that a start was answered, or that its answer will not come. */
  void answered() {
    unanswered--;
  }

  private record Ranked(WaitingOrder.Rank rank, PhaseState phase) {}

  private void startPhase(
      PhaseState phase,
      Collection<WorkerState> workers,
      FullFleet full,
      List<DispatchCommand> orders,
      long nowMs) {
    JobState job = phase.job;
    String service = config.queue(job.spec.queue()).map(q -> q.service()).orElse("");
    if (full.hasNoRoomFor(phase, service)) {
      return;
    }
    JobStatus before = job.status;
    List<Run> begun = new ArrayList<>();
    List<TaskState> waiting = phase.waiting(nowMs);
    long number = waiting.stream().mapToLong(runs::nextNumber).max().orElse(1);
    for (TaskState task : waiting) {
      if (!phase.spec.gang() && unanswered + begun.size() >= MOST_UNANSWERED) {
        break;
      }
      WorkerState worker = placement.choose(phase, service, workers, nowMs);
      if (worker == null) {
        if (!phase.spec.gang() || begun.isEmpty()) {
          full.noRoomFor(phase, service);
        }
        break;
      }
      long own = phase.spec.gang() ? number : runs.nextNumber(task);
      begun.add(runs.begin(task, worker, own, nowMs));
    }
    if (phase.spec.gang() && begun.size() < waiting.size()) {
      begun.forEach(run -> runs.dropped(run, "gang does not fit"));
      job.status = before;
      return;
    }
    unanswered += begun.size();
    begun.forEach(run -> orders.add(startOrder(run, nowMs)));
  }

  private DispatchCommand startOrder(Run run, long nowMs) {
    WorkerState worker = run.worker;
    worker.leaseExtended(nowMs, policy);
    log.logDecision(
        "run-ordered", run, "idleCpu=" + worker.idleCpuMillis() + " runs=" + worker.runs.size());
    StartTaskCommand order =
        new StartTaskCommand(
            run.task.key, run.number, run.task.phase.job.spec.payload(), run.task.checkpoint, "");
    return new DispatchCommand.Start(
        run, worker.entry, order, worker.clockAt(nowMs) + policy.leaseMs());
  }
}
