package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.coordination.dispatch.RunConclusion.Evidence;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.QueueConfig;
import org.plantainloom.state.job.RunOutcome;

/** Applies the start, end or loss of a run to its task, its job and its worker. */
final class RunLifecycle {
  private final JobTable jobs;
  private final FailureAttribution failures;
  private final DecisionLog log;
  private final long firstRunNumber;
  private final QueueConfigs queues;

  /** Provides the configuration of queues. */
  interface QueueConfigs {
    /** Returns the configuration of a queue, or null if there is none. */
    QueueConfig queue(String name);
  }

  /**
   * Creates the lifecycle of the runs of one owner.
   *
   * @param firstRunNumber smallest run number that this owner may assign
   */
  RunLifecycle(
      JobTable jobs,
      FailureAttribution failures,
      DecisionLog log,
      long firstRunNumber,
      QueueConfigs queues) {
    this.jobs = jobs;
    this.failures = failures;
    this.log = log;
    this.firstRunNumber = firstRunNumber;
    this.queues = queues;
  }

  /** Returns the number of the next run of a task. */
  long nextNumber(TaskState task) {
    return Math.max(task.lastRunNumber + 1, firstRunNumber);
  }

  Run begin(TaskState task, WorkerState worker, long number, long nowMs) {
    Run run = new Run(task, number, worker, nowMs);
    task.track();
    task.lastRunNumber = Math.max(task.lastRunNumber, number);
    task.runs.add(run);
    worker.add(run);
    return run;
  }

  /** Handles that a worker has confirmed or listed a run. */
  void confirm(Run run, long nowMs) {
    run.confirm(nowMs);
    markBegun(run.task);
  }

  /**
   * A job has begun once a worker has; the order of a start may be refused. That a lasting task has
   * run is stored, once for each task, as the next owner can't learn it from a worker that is gone.
   */
  private void markBegun(TaskState task) {
    JobState job = task.phase.job;
    if (task.phase.spec.lasting() && !task.phase.hasBegun(task.key.index()) && !job.isFinished()) {
      task.phase.markBegun(task.key.index());
      jobs.markChanged(job);
    }
    if (job.status == JobStatus.QUEUED) {
      job.status = JobStatus.ACTIVE;
    }
  }

  private static void forget(Run run) {
    run.task.runs.remove(run);
    run.worker.remove(run);
    run.task.phase.untrackIfOver(run.task);
  }

  /** Removes a run whose start command was never sent. */
  void withdraw(Run run, String reason) {
    forget(run);
    log.logDecision("run-dropped", run, "reason=" + reason);
  }

  /** Removes a run that never started or no longer exists. */
  void drop(Run run, Evidence evidence, String reason, long evidenceMs) {
    withdraw(run, reason);
    run.task.lastConclusion =
        Optional.of(RunConclusion.of(run, RunOutcome.LOST, evidence, evidenceMs));
  }

  /** Handles the end of a known run, for which the evidence speaks at {@code evidenceMs}. */
  void runEnded(
      Run run,
      RunOutcome outcome,
      String checkpoint,
      Evidence evidence,
      long evidenceMs,
      long nowMs) {
    forget(run);
    TaskState task = run.task;
    task.lastConclusion = Optional.of(RunConclusion.of(run, outcome, evidence, evidenceMs));
    if (!checkpoint.isEmpty()) {
      task.checkpoint = checkpoint;
    }
    log.logDecision("run-ended", run, "kind=" + outcome + " ranMs=" + (nowMs - run.startSentMs));
    applyEnd(task, run.number, run.worker, outcome, nowMs - run.startSentMs, nowMs);
  }

  /**
   * Handles the end of a run that this owner did not know, such as one of a previous owner.
   *
   * @param listedMs when the poll was sent that listed the end
   */
  void unknownRunEnded(
      TaskState task,
      long number,
      WorkerState worker,
      RunOutcome outcome,
      String checkpoint,
      long listedMs,
      long nowMs) {
    task.track();
    task.lastRunNumber = Math.max(task.lastRunNumber, number);
    task.lastConclusion =
        Optional.of(new RunConclusion(number, worker.id(), outcome, Evidence.END_LISTED, listedMs));
    if (!checkpoint.isEmpty() && task.runs.isEmpty()) {
      task.checkpoint = checkpoint;
    }
    log.logDecision(
        "run-ended",
        task.key + "#" + number + "@" + worker.id(),
        "kind=" + outcome + " former=true");
    applyEnd(task, number, worker, outcome, 0, nowMs);
    task.phase.untrackIfOver(task);
  }

  private void applyEnd(
      TaskState task, long number, WorkerState worker, RunOutcome outcome, long ranMs, long nowMs) {
    JobState job = task.phase.job;
    if (outcome != RunOutcome.LOST) {
      markBegun(task);
    }
    switch (outcome) {
      case DONE -> {
        failures.succeeded(task, worker, nowMs);
        if (!task.phase.spec.lasting()) {
          taskDone(task, nowMs);
        }
      }
      case FAILED -> {
        if (!task.isDone() && task.addFailure(number)) {
          failures.failed(task, worker, ranMs, nowMs);
          task.delayRetry(worker, ranMs, nowMs);
          taskFailed(task, nowMs);
        }
      }
      case STOPPED, LEASE_LAPSED, GANG_BROKEN, GANG_INCOMPLETE, LOST -> {
        // The task becomes pending again.
      }
    }
    if (outcome.mustPersist() && job.isDirty()) {
      worker.endUnpersisted(task);
    }
  }

  private void taskDone(TaskState task, long nowMs) {
    PhaseState phase = task.phase;
    JobState job = phase.job;
    if (phase.spec.gang()) {
      phase.markAllDone();
      List.copyOf(phase.trackedTasks()).forEach(phase::untrackIfOver);
    } else {
      phase.markDone(task.key.index());
      phase.untrackIfOver(task);
    }
    task.runs.forEach(Run::stop);
    job.closeIfOver(phase.occurrence);
    jobs.markChanged(job);
    if (!job.isFinished() && job.areAllOccurrencesDone()) {
      jobs.finish(job, JobStatus.COMPLETED, nowMs);
      log.logDecision("job-completed", job.spec.id(), "afterMs=" + (nowMs - job.knownSinceMs));
    }
  }

  private void taskFailed(TaskState task, long nowMs) {
    JobState job = task.phase.job;
    // A task that lasts may fail without limit, so that its failures need not be stored.
    if (task.phase.spec.lasting()) {
      return;
    }
    jobs.markChanged(job);
    failIfAttemptsExhausted(job, task, nowMs);
  }

  /** Fails a job if one of its tasks has failed as often as its queue allows. */
  void failIfAttemptsExhausted(JobState job, long nowMs) {
    job.forEachTrackedTask(
        task -> {
          if (!task.failures.isEmpty()) {
            failIfAttemptsExhausted(job, task, nowMs);
          }
        });
  }

  private void failIfAttemptsExhausted(JobState job, TaskState task, long nowMs) {
    QueueConfig queue = queues.queue(job.spec.queue());
    if (job.isFinished() || task.phase.spec.lasting() || queue == null) {
      return;
    }
    int attempts = task.phase.failedAttempts(task);
    if (attempts >= queue.maxAttempts()) {
      log.logDecision("job-failed", job.spec.id(), "task=" + task.key + " attempts=" + attempts);
      endJob(job, JobStatus.FAILED, nowMs);
    }
  }

  /** Ends a job before all its tasks are done and stops its runs. */
  void endJob(JobState job, JobStatus status, long nowMs) {
    jobs.finish(job, status, nowMs);
    job.forEachTrackedTask(task -> task.runs.forEach(Run::stop));
    job.releaseState();
  }

  /** Handles the loss of all runs of a worker. */
  void allRunsLost(WorkerState worker, Evidence evidence, long evidenceMs, long nowMs) {
    allLost(worker, new ArrayList<>(worker.runs.values()), evidence, evidenceMs, nowMs);
  }

  /** Handles the loss of some runs of a worker. */
  void allLost(WorkerState worker, List<Run> lost, Evidence evidence, long evidenceMs, long nowMs) {
    if (!lost.isEmpty()) {
      log.logDecision("worker-lost", worker.id(), "reason=" + evidence + " runs=" + lost.size());
    }
    lost.forEach(run -> runEnded(run, RunOutcome.LOST, "", evidence, evidenceMs, nowMs));
  }
}
