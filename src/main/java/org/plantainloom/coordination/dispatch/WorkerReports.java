package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerSnapshot;

/**
 * Brings what the scheduler believes of a worker in line with what the worker told.
 *
 * <p>Runs that a former owner started are taken over; runs that should not be there are stopped;
 * runs that are neither running nor ended although they were confirmed before the look was sent are
 * lost.
 */
final class WorkerReports {
  /** How long a worker with a run of unknown size gets nothing; longer than a stop takes. */
  private static final long UNKNOWN_RUN_PAUSE_MS = 1_500;

  private final JobTable jobs;
  private final RunTable runs;
  private final DecisionLog log;
  private final DispatchPolicy policy;

  WorkerReports(JobTable jobs, RunTable runs, DecisionLog log, DispatchPolicy policy) {
    this.jobs = jobs;
    this.runs = runs;
    this.log = log;
    this.policy = policy;
  }

  /**
   * Applies a look.
   *
   * @param sentMs when the look was sent; what happened later may not show in it
   * @return orders that stop runs which should not be there
   */
  List<DispatchCommand> apply(WorkerState worker, WorkerSnapshot look, long sentMs, long nowMs) {
    noticeIncarnation(worker, look, nowMs);
    if (!worker.isClockKnown() || look.clockMs() >= worker.clockAt(nowMs) - policy.leaseMs()) {
      worker.clockMs = look.clockMs();
      worker.clockReadMs = nowMs;
    }
    worker.lastAnswerMs = nowMs;
    if (worker.unreachable) {
      worker.unreachable = false;
      worker.persisted = false;
      log.logDecision("worker-regained", worker.id(), "runs=" + worker.runs.size());
    }
    worker.confirmed = true;
    applyEnds(worker, look.ended(), nowMs);
    List<DispatchCommand> orders = new ArrayList<>();
    Set<TaskKey> running = new HashSet<>();
    for (ActiveRun row : look.running()) {
      running.add(row.task());
      applyRunning(worker, row, orders, nowMs);
    }
    dropMissing(worker, running, sentMs);
    return orders;
  }

  private void noticeIncarnation(WorkerState worker, WorkerSnapshot look, long nowMs) {
    if (look.startedAtMs() != 0 && look.startedAtMs() != worker.incarnation) {
      if (worker.incarnation != 0) {
        runs.lostAll(worker, "restarted", nowMs);
      }
      worker.reborn(look.startedAtMs());
    }
  }

  private void applyEnds(WorkerState worker, List<EndedRun> ends, long nowMs) {
    for (EndedRun end : ends) {
      if (end.sequenceNumber() <= worker.endsSeen) {
        continue;
      }
      worker.endsSeen = end.sequenceNumber();
      JobState job = jobs.job(end.task().jobId());
      TaskState task = job == null ? null : job.task(end.task());
      if (task == null) {
        worker.unkept.add(new WorkerState.UnkeptEnd(end.sequenceNumber(), null, 0));
        continue;
      }
      Run run = worker.runs.get(end.task());
      if (run != null && run.number == end.run()) {
        runs.ended(run, end.kind(), end.checkpoint(), nowMs);
      } else {
        runs.endedUnknown(task, end.run(), worker, end.kind(), end.checkpoint(), nowMs);
      }
      JobState waitsFor = end.kind().mustPersist() && job.isDirty() ? job : null;
      worker.unkept.add(new WorkerState.UnkeptEnd(end.sequenceNumber(), waitsFor, job.version));
    }
  }

  private void applyRunning(
      WorkerState worker, ActiveRun row, List<DispatchCommand> orders, long nowMs) {
    Run run = worker.runs.get(row.task());
    if (run == null || run.number != row.run()) {
      run = adopt(worker, row, run, orders, nowMs);
      if (run == null) {
        return;
      }
    }
    run.confirm(nowMs);
    run.progress(row.percent(), nowMs);
    run.recent = row.recentMeasurement();
    if (!row.checkpoint().isEmpty()) {
      run.task.checkpoint = row.checkpoint();
    }
  }

  /**
   * Takes over a run that this owner did not start. One that should not be there is stopped, and
   * holds its room until it has ended.
   */
  private Run adopt(
      WorkerState worker, ActiveRun row, Run known, List<DispatchCommand> orders, long nowMs) {
    String subject = row.task() + "#" + row.run() + "@" + worker.id();
    JobState job = jobs.job(row.task().jobId());
    TaskState task = job == null ? null : job.task(row.task());
    if (task == null || known != null) {
      log.logDecision("run-unwanted", subject, "job=" + (job == null ? "unknown" : job.status));
      orders.add(new DispatchCommand.Stop(worker.entry, row.task(), row.run()));
      worker.suspendedUntilMs = Math.max(worker.suspendedUntilMs, nowMs + UNKNOWN_RUN_PAUSE_MS);
      return null;
    }
    boolean wanted = !job.isOver() && task.isPending();
    log.logDecision(wanted ? "run-adopted" : "run-unwanted", subject, "job=" + job.status);
    Run run = runs.begin(task, worker, row.run(), nowMs);
    run.confirm(nowMs);
    if (!wanted) {
      run.stop();
    }
    return run;
  }

  private void dropMissing(WorkerState worker, Set<TaskKey> running, long sentMs) {
    for (Run run : new ArrayList<>(worker.runs.values())) {
      if (running.contains(run.task.key)) {
        continue;
      }
      boolean vanished =
          run.stage == Run.Stage.RUNNING && run.confirmedMs < sentMs - policy.stopGraceMs();
      boolean stopped =
          run.isStopping()
              && run.stopAnsweredMs >= 0
              && run.stopAnsweredMs + policy.stopGraceMs() < sentMs;
      if (vanished || stopped) {
        runs.dropped(run, vanished ? "not listed" : "stopped");
      }
    }
  }
}
