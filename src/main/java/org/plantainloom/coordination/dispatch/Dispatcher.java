package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.plantainloom.coordination.dispatch.RunConclusion.Evidence;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;

/**
 * Makes the decisions of the scheduler process that owns the workers.
 *
 * <p>The caller reports events ({@link #jobSubmitted}, {@link #pollAnswered}, ...), sends the
 * commands that {@link #decide} returns and persists {@link #unpersistedProgress}. Not thread-safe.
 * Times are in milliseconds of a monotonic clock, except for due times of jobs and {@code wallMs},
 * which are wall-clock times.
 */
public final class Dispatcher {
  /** Range of run numbers per owner; the next owner starts above it without reading them back. */
  private static final long RUN_NUMBERS_PER_TERM = 100_000;

  /**
   * Jobs whose progress is written in one transaction. Each takes two of its entries: the required
   * revision and the value.
   */
  private static final int JOBS_PER_COMMIT = 15;

  /** Delay before a worker that did not answer is polled again. */
  private static final long POLL_RETRY_DELAY_MS = 200;

  /** Delay of a poll while ended runs wait to be persisted; an earlier poll would repeat them. */
  private static final long UNPERSISTED_ENDS_POLL_DELAY_MS = 400;

  private final DecisionLog log;
  private final OwnershipLease ownership;
  private final long term;
  private final JobTable jobs = new JobTable();
  private final JobsFreshness jobsFreshness;
  private final RunLifecycle runs;
  private final WorkerReconciler reconciler;
  private final InterferenceModel interference = new InterferenceModel();
  private final TailLatencyController latencyController = new TailLatencyController(interference);
  private final ShortTaskReserve reserve = new ShortTaskReserve();
  private final Placement placement = new Placement(interference, reserve);
  private final TaskStarter starter;
  private final StallDetector stallDetector;
  private final CommandReplies commandReplies;
  private final WorkerTable workers;
  private final Takeover takeover;
  private final ElapsedTime elapsed = new ElapsedTime();
  private final WorkerClocks workerClocks;
  private final WorkerPolls polls;
  private final InheritedWorkers inheritedWorkers;
  private final List<DispatchCommand> pendingCommands = new ArrayList<>();

  private ClusterConfig config = ClusterConfig.UNKNOWN;
  private boolean fenced;

  /** Whether this process could act as the owner in the last round. */
  private boolean acting;

  /**
   * Creates the dispatcher of a new owner.
   *
   * @param term number of the ownership, from 1
   * @param ownership until when this process may act as the owner; updated by the caller
   * @param nowMs the monotonic clock, once the ownership was gained
   */
  public Dispatcher(
      long term, DispatchPolicy policy, OwnershipLease ownership, DecisionLog log, long nowMs) {
    this.log = log;
    this.ownership = ownership;
    this.term = term;
    this.jobsFreshness = new JobsFreshness(log);
    this.workers = new WorkerTable(jobs, log);
    this.polls = new WorkerPolls(policy, ownership, elapsed);
    this.takeover = new Takeover(policy, workers, log, nowMs);
    this.workerClocks = new WorkerClocks(elapsed, workers, takeover);
    this.inheritedWorkers = new InheritedWorkers(workers, polls, workerClocks, elapsed);
    this.runs =
        new RunLifecycle(
            jobs,
            new FailureAttribution(workers::all, log),
            log,
            (term - 1) * RUN_NUMBERS_PER_TERM + 1,
            name -> config.queue(name).orElse(null));
    this.reconciler = new WorkerReconciler(jobs, runs, log, policy);
    this.stallDetector = new StallDetector(log);
    this.commandReplies = new CommandReplies(workers, runs, log, this::markFenced);
    this.starter = new TaskStarter(policy, log, runs, placement, reserve, jobsFreshness);
  }

  /** Restores a job that was accepted before this ownership began. */
  public void restoreJob(JobSpec spec, JobProgress progress, long revision, long nowMs) {
    reserve.jobAccepted(spec);
    if (progress.status().isFinal()) {
      jobs.addFinished(spec.id(), progress.status(), nowMs);
    } else {
      jobs.add(spec, nowMs).restore(progress, revision);
    }
  }

  /** Handles a stored job that cannot be restored: what runs of it is stopped. */
  public void jobUnreadable(String jobId) {
    jobs.unreadable(jobId);
  }

  /**
   * Handles that all jobs and cancellations are known which the store acknowledged before a time.
   *
   * @param sentMs when the call was sent whose reply completes them, on the monotonic clock
   * @param sentWallMs the same on the wall clock
   */
  public void jobsKnownAsOf(long sentMs, long sentWallMs) {
    jobsFreshness.confirm(sentMs, sentWallMs);
  }

  /** Handles a newly accepted job. */
  public void jobSubmitted(JobSpec spec, long nowMs) {
    if (!jobs.isKnown(spec.id()) && !jobs.isRetired(spec.id())) {
      JobState job = jobs.add(spec, nowMs);
      // A previous owner that still acts reads new jobs, too, and may start them first.
      job.submittedDuringTakeover = !takeover.haveKnownWorkersAnswered();
      reserve.jobAccepted(spec);
      log.logDecision(
          "job-known", spec.id(), "queue=" + spec.queue() + " phases=" + spec.phases().size());
      if (jobs.takeCancellation(spec.id())) {
        jobCancelled(spec.id(), nowMs);
      }
    }
  }

  /**
   * Handles the cancellation of a job: its runs are stopped. A job that is not known yet never
   * runs.
   */
  public void jobCancelled(String jobId, long nowMs) {
    JobState job = jobs.job(jobId);
    if (job == null) {
      jobs.cancelledBeforeStored(jobId, nowMs);
    } else if (!job.isFinished()) {
      log.logDecision("job-cancelled", jobId, "status=" + job.status);
      runs.endJob(job, JobStatus.CANCELLED, nowMs);
    }
  }

  /** Applies a configuration if it is newer than the current one. */
  public void configure(ClusterConfig newConfig, long nowMs) {
    if (newConfig.version() > config.version()) {
      config = newConfig;
      starter.configure(newConfig);
      for (JobState job : List.copyOf(jobs.openJobs())) {
        runs.failIfAttemptsExhausted(job, nowMs);
      }
    }
  }

  /** Sets the availability zones in which no task may start. */
  public void withdrawZones(Set<String> zones) {
    placement.withdrawZones(zones);
  }

  /** Adds a worker that a previous owner stored; it may no longer be registered. */
  public void workerInherited(FleetMember member, long nowMs) {
    workers.addInherited(member, nowMs);
  }

  /** Handles a stored list of workers that is unreadable or lacks some of its workers. */
  public void fleetIncomplete() {
    workers.listIncomplete();
  }

  /** Returns whether the list of workers has to be stored as incomplete for the next owner. */
  public boolean isFleetIncomplete() {
    return workers.isListIncomplete();
  }

  /** Handles the end of the restore: all jobs of previous owners have been passed in. */
  public void jobsRestored() {
    workers.holdPossibleTasks();
  }

  /** Handles a new or changed registration of a worker. */
  public void workerRegistered(WorkerRegistration registration, long nowMs) {
    workers.registered(registration, nowMs);
  }

  /** Handles the removal of a worker's registration; the worker may still be running. */
  public void workerUnregistered(String workerId) {
    workers.unregistered(workerId);
  }

  /**
   * Handles a registration that was replaced by something else. Unlike a removal, that does not
   * tell that the worker has left.
   */
  public void workerRegistrationReplaced(String workerId) {
    workers.registrationReplaced(workerId);
  }

  /**
   * Returns the workers that the next owner has to poll, or empty if the stored list is current.
   */
  public Optional<List<FleetMember>> unpersistedFleet() {
    return workers.unpersisted(takeover::leaseEndMs);
  }

  /**
   * Returns the list of workers with which this owner begins to act: inherited workers that have
   * not answered yet are silent from now on, until a later list says otherwise.
   */
  public List<FleetMember> firstFleet() {
    workers.markUnansweredSilent();
    return workers.members(takeover::leaseEndMs);
  }

  /** Returns the workers of previous owners, for the time until the jobs are restored. */
  public InheritedWorkers inheritedWorkers() {
    return inheritedWorkers;
  }

  /** Returns what workers' clocks show now at the latest, for the next confirmation. */
  public List<WorkerClockReading> workerClocks(long nowMs, long wallMs) {
    return workerClocks.readings(nowMs, wallMs);
  }

  /** Handles a successful write of the list of workers, marked as incomplete or not. */
  public void fleetPersisted(List<FleetMember> members, boolean incomplete) {
    workers.persisted(members, incomplete, takeover::leaseEndMs);
  }

  /** Returns whether a worker has reported a newer owner, which ends this ownership. */
  public boolean isFenced() {
    return fenced;
  }

  /**
   * Handles that the previous owners whose leases may be valid are known, and that their leases are
   * no longer than this owner's. Owners of older releases are not known.
   */
  public void previousOwnersKnown() {
    takeover.previousOwnersKnown();
  }

  /** Handles the last confirmation of a previous owner that was carried out. */
  public void previousOwnerConfirmed(LastConfirmation confirmation) {
    workerClocks.previousOwnerConfirmed(confirmation);
  }

  /**
   * Handles the proof that all previous owners have stopped. Without it, they count as acting until
   * some time after the takeover.
   *
   * @param stoppedMs time after which none of them has sent a command
   */
  public void previousOwnersStopped(long stoppedMs) {
    takeover.previousOwnersStopped(stoppedMs);
  }

  /** Returns whether no lease of a previous owner can be valid any more. */
  public boolean areInheritedLeasesOver(long nowMs) {
    return takeover.areLeasesOver(nowMs);
  }

  /**
   * Detects expired leases and stalled runs, starts ready tasks, and returns the commands that are
   * due now. Returns nothing once this owner is fenced, and only polls and stops while the store
   * does not confirm the ownership. Starts nothing while its knowledge of the jobs is outdated.
   */
  public List<DispatchCommand> decide(long nowMs, long wallMs) {
    elapsed.advanceTo(nowMs, wallMs);
    List<DispatchCommand> commands = new ArrayList<>(pendingCommands);
    pendingCommands.clear();
    if (fenced) {
      return List.of();
    }
    expireLeases(nowMs);
    commands.addAll(polls.renewalsIfDue(workers.all(), nowMs, wallMs));
    if (mayAct(nowMs, wallMs)) {
      stallDetector.stopStalledRuns(workers.all(), nowMs);
      if (jobsFreshness.mayStart(nowMs, wallMs)) {
        commands.addAll(starter.start(jobs.openJobs(), workers.all(), takeover, nowMs, wallMs));
      }
    }
    for (WorkerState worker : workers.all()) {
      RunStops.addDue(worker, commands, nowMs);
      polls.pollIfDue(worker, nowMs, wallMs).ifPresent(commands::add);
    }
    return commands;
  }

  /** Sets whether the configuration and withdrawn zones are recent enough to start tasks. */
  public void configCurrent(boolean current) {
    starter.configCurrent(current);
  }

  private boolean mayAct(long nowMs, long wallMs) {
    boolean valid = ownership.isValid(nowMs, wallMs);
    if (valid != acting) {
      acting = valid;
      log.logDecision(
          valid ? "ownership-confirmed" : "ownership-unconfirmed",
          "term-" + term,
          "ageMs="
              + ownership.ageMs(nowMs, wallMs)
              + " effect="
              + (valid ? "acting" : "no starts and renewals"));
    }
    return valid;
  }

  private void expireLeases(long nowMs) {
    long confirmedMs = ownership.confirmedMs();
    for (WorkerState worker : new ArrayList<>(workers.all())) {
      if (worker.unreachable && takeover.isLeaseOver(worker, confirmedMs)) {
        long leaseEndMs = takeover.leaseEndMs(worker);
        runs.allRunsLost(worker, Evidence.LEASE_EXPIRED, leaseEndMs, nowMs);
        workers.releasePossibleTasks(worker, Evidence.LEASE_EXPIRED, leaseEndMs);
        if (!worker.registered) {
          workers.forget(worker);
        }
      }
    }
    takeover.advance(nowMs, confirmedMs);
    OptionalLong waitEndMs = takeover.lastWaitEndMs(nowMs, confirmedMs);
    waitEndMs.ifPresent(ownership::confirmationNeeded);
  }

  /** Handles the answer to a poll that was sent at {@code sentMs}. */
  public void pollAnswered(
      WorkerRegistration registration, PollReply reply, long sentMs, long nowMs) {
    WorkerState worker = workers.get(registration.id());
    if (worker == null) {
      return;
    }
    worker.pollInFlight = false;
    if (reply instanceof PollReply.Answered answered) {
      WorkerSnapshot snapshot =
          takeover.areJobsKnown(jobsFreshness, nowMs)
              ? answered.snapshot()
              : jobs.knownPart(answered.snapshot());
      worker.hasEndsOfUnreadJobs = snapshot.ended().size() < answered.snapshot().ended().size();
      workers.answered(worker);
      pendingCommands.addAll(reconciler.reconcile(worker, snapshot, sentMs, nowMs));
      workerClocks.answered(worker, worker.life(), snapshot, nowMs);
      if (snapshot.listsAllEnds()) {
        workers.releasePossibleTasks(worker, Evidence.NOT_LISTED, sentMs);
      }
      pendingCommands.addAll(latencyController.adjustCpuLimitsIfDue(worker, nowMs));
      worker.nextPollMs = nowMs + UNPERSISTED_ENDS_POLL_DELAY_MS;
    } else if (reply instanceof PollReply.Fenced) {
      markFenced(worker.id());
    } else if (reply instanceof PollReply.Unavailable unavailable) {
      worker.nextPollMs = nowMs + POLL_RETRY_DELAY_MS;
      worker.callFailed();
      if (!worker.unreachable) {
        workers.becameSilent(worker, unavailable.reason());
      }
    }
  }

  /** Handles the answer to a start. */
  public void startAnswered(DispatchCommand.Start start, CommandReply reply, long nowMs) {
    starter.startAnswered(start.run());
    commandReplies.startAnswered(start, reply, nowMs);
  }

  /** Handles the answer to a stop. */
  public void stopAnswered(DispatchCommand.Stop stop, CommandReply reply, long nowMs) {
    commandReplies.stopAnswered(stop, reply, nowMs);
  }

  /** Handles the answer to a CPU limit. */
  public void cpuLimitAnswered(DispatchCommand.LimitCpu limit, CommandReply reply, long nowMs) {
    commandReplies.cpuLimitAnswered(limit, reply, nowMs);
  }

  private void markFenced(String workerId) {
    if (!fenced) {
      fenced = true;
      log.logDecision("fenced", workerId, "a newer owner has used this worker");
    }
  }

  /** Returns the next progress to persist, or empty if everything is persisted. */
  public Optional<ProgressBatch> unpersistedProgress() {
    return jobs.hasDirty()
        ? Optional.of(new ProgressBatch(jobs.dirtyEntries(JOBS_PER_COMMIT)))
        : Optional.empty();
  }

  /** Handles a successful write of progress. */
  public void progressPersisted(ProgressBatch batch, long revision) {
    batch.entries().forEach(entry -> jobs.progressPersisted(entry, revision));
  }

  /** Sets the stored revision of a job's progress after a write conflict; 0 if none is stored. */
  public void correctRevision(String jobId, long revision) {
    jobs.correctRevision(jobId, revision);
  }

  /**
   * Forgets jobs that finished before a time, and returns up to {@code limit} ids of jobs to remove
   * from the store. They are returned again until {@link #jobsRemoved} confirms the removal.
   */
  public List<String> retireJobs(long finishedBeforeMs, int limit) {
    return jobs.retire(finishedBeforeMs, limit);
  }

  /** Handles that the store has removed jobs. */
  public void jobsRemoved(List<String> jobIds, long nowMs) {
    jobs.removed(jobIds, nowMs);
  }

  /** Returns the number of jobs of a queue of which no task has started yet. */
  public int queuedJobCount(String queue) {
    return jobs.queuedCount(queue);
  }

  /** Returns the status that callers may be told; empty if the job is unknown. */
  public Optional<JobStatus> visibleStatus(String jobId) {
    return jobs.visibleStatus(jobId);
  }

  /** Returns an estimate of the heap that the jobs need until they end, in bytes. */
  public long estimatedJobBytes() {
    return jobs.estimatedBytes();
  }

  /** Returns the number of unfinished jobs. */
  public int openJobCount() {
    return jobs.openJobs().size();
  }

  Collection<WorkerState> workers() {
    return workers.all();
  }
}
