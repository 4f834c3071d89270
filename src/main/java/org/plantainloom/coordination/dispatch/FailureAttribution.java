package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;

/**
 * Attributes failed runs to the worker or to the job, by what the failures have in common.
 *
 * <p>A worker is to blame if runs of different jobs fail there that hold elsewhere. A job is to
 * blame if its runs fail on several workers on which no other job fails, and hold on none, as after
 * the release of a broken image; its failures then count against no worker. Until a job has been
 * tried on several workers, that is not known: a worker that was suspended on the word of such jobs
 * is released once they have been to blame for some time.
 */
final class FailureAttribution {
  /** Failures in a row, each of another job than the one before, that suspend a worker. */
  private static final int WITNESSES_BEFORE_SUSPENSION = 3;

  /** Witnesses that are remembered for each worker. */
  private static final int MAX_WITNESSES = 8;

  /**
   * Share of a service's workers that may be suspended for failures at once. If more fail, tasks
   * need the rest all the same.
   */
  private static final double MAX_SUSPENDED_SHARE = 0.5;

  private final Supplier<Collection<WorkerState>> workers;
  private final DecisionLog log;

  /**
   * Creates the attribution of one owner.
   *
   * @param workers all workers
   */
  FailureAttribution(Supplier<Collection<WorkerState>> workers, DecisionLog log) {
    this.workers = workers;
    this.log = log;
  }

  /**
   * Handles a failed run.
   *
   * @param ranMs how long it has lasted
   */
  void failed(TaskState task, WorkerState worker, long ranMs, long nowMs) {
    JobState job = task.phase.job;
    FailureHistory history = job.failureHistory(task.phase.index);
    boolean wasBlamed = history.isJobBlamed();
    worker.failedAfterSuspension(nowMs);
    history.add(ranMs, nowMs);
    if (worker.failureWitnesses.isSoundFor(history)) {
      history.addWorker(worker.id());
    }
    history.judge(runs(task.phase), nowMs);
    worker.failureWitnesses.add(history, MAX_WITNESSES);
    if (history.isJobBlamed() && !wasBlamed) {
      log.logDecision("job-blamed", job.spec.id(), "workers=" + history.workers());
    }
    if (history.isBlameCertain(nowMs)) {
      releaseAcquitted(nowMs);
    } else if (!history.isJobBlamed() && isToBlame(worker)) {
      suspend(worker, "job=" + job.spec.id(), nowMs);
    }
  }

  private static List<Run> runs(PhaseState phase) {
    List<Run> runs = new ArrayList<>();
    phase.trackedTasks().forEach(task -> runs.addAll(task.runs));
    return runs;
  }

  /**
   * Handles a run that has succeeded: neither its worker nor its job fails always. Workers on which
   * a job failed that was to blame until now may be to blame instead.
   */
  void succeeded(TaskState task, WorkerState worker, long nowMs) {
    FailureHistory history = task.phase.job.failureHistory(task.phase.index);
    boolean wasBlamed = history.isJobBlamed();
    history.succeeded(nowMs);
    worker.resetFailures();
    if (wasBlamed) {
      for (WorkerState other : workers.get()) {
        if (other.failureWitnesses.contains(history) && isToBlame(other)) {
          suspend(other, "job=" + task.phase.job.spec.id() + " holds=" + worker.id(), nowMs);
        }
      }
    }
  }

  private static boolean isToBlame(WorkerState worker) {
    return worker.failureWitnesses.credible() >= WITNESSES_BEFORE_SUSPENSION;
  }

  private void suspend(WorkerState worker, String detail, long nowMs) {
    if (worker.suspendedUntilMs > nowMs) {
      return;
    }
    String service = worker.registration.service();
    long count = 0;
    long suspended = 1;
    for (WorkerState other : workers.get()) {
      if (other.registration.service().equals(service)) {
        count++;
        suspended += other != worker && other.suspendedUntilMs > nowMs ? 1 : 0;
      }
    }
    if (suspended > MAX_SUSPENDED_SHARE * count) {
      log.logDecision("worker-kept", worker.id(), "reason=too many suspended " + detail);
      return;
    }
    worker.suspendForFailures(nowMs);
    log.logDecision("worker-suspended", worker.id(), "reason=failures " + detail);
  }

  private void releaseAcquitted(long nowMs) {
    for (WorkerState worker : workers.get()) {
      if (worker.isSuspendedForFailures(nowMs) && !isToBlame(worker)) {
        worker.endSuspension(nowMs);
        log.logDecision("worker-released", worker.id(), "reason=the jobs fail elsewhere, too");
      }
    }
  }
}
