package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainloom.coordination.dispatch.RunConclusion.Evidence;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerSnapshot;

/**
 * Reconciles the scheduler's view of a worker with the worker's own report.
 *
 * <p>Runs that a previous owner started are adopted. Runs that should not exist are stopped. Runs
 * that were confirmed well before the poll was sent but are reported neither as running nor as
 * ended are dropped, unless further ends wait beyond those listed. If the worker has started again,
 * runs that its former life has listed are over; any other may have started in either life and is
 * decided by the lists of the new one.
 */
final class WorkerReconciler {
  /** A worker with a run of unknown size gets no tasks for this long; a stop takes less. */
  private static final long UNKNOWN_RUN_MS = 1_500;

  private final JobTable jobs;
  private final RunLifecycle runs;
  private final DecisionLog log;
  private final DispatchPolicy policy;

  WorkerReconciler(JobTable jobs, RunLifecycle runs, DecisionLog log, DispatchPolicy policy) {
    this.jobs = jobs;
    this.runs = runs;
    this.log = log;
    this.policy = policy;
  }

  /**
   * Applies the answer to a poll.
   *
   * @param sentMs when the poll was sent; the snapshot may lack what happened later
   * @return commands that stop unknown runs
   */
  List<DispatchCommand> reconcile(
      WorkerState worker, WorkerSnapshot snapshot, long sentMs, long nowMs) {
    if (worker.isConfirmed() && worker.life().isNamedBy(snapshot.startedAtMs())) {
      worker.life().answered(snapshot.clockMs(), policy.leaseMs(), nowMs);
    } else {
      beginLife(worker, snapshot, sentMs, nowMs);
    }
    if (worker.unreachable) {
      worker.unreachable = false;
      worker.persisted = false;
      log.logDecision("worker-regained", worker.id(), "runs=" + worker.runs.size());
    }
    applyEnds(worker, snapshot.ended(), sentMs, nowMs);
    List<DispatchCommand> commands = new ArrayList<>();
    Set<TaskKey> running = new HashSet<>();
    for (ActiveRun reported : snapshot.running()) {
      running.add(reported.task());
      applyRunning(worker, reported, commands, nowMs);
    }
    if (snapshot.listsAllEnds()) {
      worker.life().listedAllEnds();
      dropMissing(worker, running, sentMs);
    }
    return commands;
  }

  private void beginLife(WorkerState worker, WorkerSnapshot snapshot, long sentMs, long nowMs) {
    boolean restarted = worker.isConfirmed();
    WorkerLife life = new WorkerLife(snapshot.startedAtMs(), snapshot.clockMs(), nowMs);
    List<Run> over = worker.beginLife(life);
    if (restarted) {
      // A start that was sent to the former life names a time on a clock which may be far ahead.
      worker.leaseExtended(nowMs, policy.longestPlatformLeaseMs());
      log.logDecision(
          "worker-restarted",
          worker.id(),
          "runs="
              + worker.runs.size()
              + " over="
              + over.size()
              + " startedAt="
              + snapshot.startedAtMs());
      runs.allLost(worker, over, Evidence.WORKER_RESTARTED, sentMs, nowMs);
    } else {
      // A previous owner may have renewed the lease until the worker knew of this one.
      worker.leaseExtended(nowMs, policy.longestLeaseMs());
    }
  }

  private void applyEnds(WorkerState worker, List<EndedRun> ends, long sentMs, long nowMs) {
    for (EndedRun end : ends) {
      if (!worker.life().isNewEnd(end.sequenceNumber())) {
        continue;
      }
      JobState job = jobs.job(end.task().jobId());
      TaskState task = job == null ? null : job.task(end.task());
      if (task == null) {
        worker.life().addEnd(end.sequenceNumber());
        continue;
      }
      Run run = worker.runs.get(end.task());
      if (run != null && run.number == end.run()) {
        runs.runEnded(run, end.kind(), end.checkpoint(), Evidence.END_LISTED, sentMs, nowMs);
      } else {
        runs.unknownRunEnded(task, end.run(), worker, end.kind(), end.checkpoint(), sentMs, nowMs);
      }
      if (end.kind().mustPersist() && job.isDirty()) {
        worker.life().addEnd(end.sequenceNumber(), job);
      } else {
        worker.life().addEnd(end.sequenceNumber());
      }
    }
  }

  private void applyRunning(
      WorkerState worker, ActiveRun reported, List<DispatchCommand> commands, long nowMs) {
    Run run = worker.runs.get(reported.task());
    if (run == null || run.number != reported.run()) {
      run = adopt(worker, reported, run, commands, nowMs);
      if (run == null) {
        return;
      }
    }
    runs.confirm(run, nowMs);
    run.reportProgress(reported.percent(), nowMs);
    run.recentMeasurement = reported.recentMeasurement();
    if (!reported.checkpoint().isEmpty()) {
      run.task.checkpoint = reported.checkpoint();
    }
  }

  /**
   * Adopts a run that this owner did not start. An unwanted run is stopped; if its task is known,
   * it keeps its resources reserved until it has ended.
   */
  private Run adopt(
      WorkerState worker,
      ActiveRun reported,
      Run existing,
      List<DispatchCommand> commands,
      long nowMs) {
    String subject = reported.task() + "#" + reported.run() + "@" + worker.id();
    JobState job = jobs.job(reported.task().jobId());
    TaskState task = job == null ? null : job.task(reported.task());
    if (task == null || existing != null) {
      log.logDecision("run-unwanted", subject, "job=" + (job == null ? "unknown" : job.status));
      commands.add(new DispatchCommand.Stop(worker.registration, reported.task(), reported.run()));
      worker.unknownRunUntilMs = nowMs + UNKNOWN_RUN_MS;
      return null;
    }
    boolean wanted = !job.isFinished() && task.isPendingUnlessOn(worker);
    log.logDecision(wanted ? "run-adopted" : "run-unwanted", subject, "job=" + job.status);
    Run run = runs.begin(task, worker, reported.run(), nowMs);
    runs.confirm(run, nowMs);
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
        Evidence evidence = vanished ? Evidence.NOT_LISTED : Evidence.STOP_CONFIRMED;
        runs.drop(run, evidence, evidence.toString(), sentMs);
      }
    }
  }
}
