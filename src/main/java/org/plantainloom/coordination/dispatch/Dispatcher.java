package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * The scheduler's decisions while it owns the workers.
 *
 * <p>All methods are called by one thread. Times are milliseconds of a steady clock, but for due
 * times of jobs, which are wall-clock times.
 */
public final class Dispatcher {
  /** Run numbers of one owner; a later owner starts above them without reading them back. */
  private static final long RUN_NUMBERS_PER_TERM = 100_000;

  /** Entries of a transaction that one job's progress takes: its required revision, its value. */
  private static final int JOBS_PER_COMMIT = 15;

  /** How long a worker that did not answer is left before it is asked again. */
  private static final long POLL_RETRY_DELAY_MS = 200;

  private static final long STOP_RETRY_INTERVAL_MS = 300;

  /** Pause before a refused start is tried again; a look in between corrects what was believed. */
  private static final long REFUSED_START_DELAY_MS = 500;

  /** How long a look waits for ends to be kept before it repeats them. */
  private static final long UNPERSISTED_ENDS_POLL_DELAY_MS = 400;

  private final DispatchPolicy policy;
  private final DecisionLog log;
  private final JobTable jobs = new JobTable();
  private final RunLifecycle runs;
  private final WorkerReconciler reconciler;
  private final InterferenceModel interference = new InterferenceModel();
  private final TailLatencyController latencyController = new TailLatencyController(interference);
  private final Placement placement = new Placement(interference);
  private final TaskStarter starter;
  private final StallDetector stallDetector;
  private final WorkerTable workers;
  private final List<DispatchCommand> pendingCommands = new ArrayList<>();
  private final long ownedSinceMs;
  private ClusterConfig config = ClusterConfig.UNKNOWN;
  private boolean fenced;
  private boolean caughtUp;
  private boolean startsHeld;

  /**
   * Creates the decisions of a new owner.
   *
   * @param term counts the owners, from 1
   * @param nowMs the steady clock
   */
  public Dispatcher(long term, DispatchPolicy policy, DecisionLog log, long nowMs) {
    this.policy = policy;
    this.log = log;
    this.ownedSinceMs = nowMs;
    this.workers = new WorkerTable(jobs, log);
    this.runs =
        new RunLifecycle(
            jobs,
            log,
            (term - 1) * RUN_NUMBERS_PER_TERM + 1,
            name -> config.queue(name).orElse(null));
    this.reconciler = new WorkerReconciler(jobs, runs, log, policy);
    this.stallDetector = new StallDetector(log);
    this.starter = new TaskStarter(policy, log, runs, placement);
  }

  /** Takes over a job that was accepted before this owner began. */
  public void restoreJob(JobSpec spec, JobProgress progress, long revision, long nowMs) {
    JobState job = jobs.add(spec, nowMs);
    job.restore(progress, revision);
    if (job.isFinished()) {
      jobs.restoredAsFinished(job, nowMs);
    }
  }

  /** Takes note of a newly accepted job. */
  public void jobSubmitted(JobSpec spec, long nowMs) {
    if (jobs.job(spec.id()) == null) {
      jobs.add(spec, nowMs);
      log.logDecision(
          "job-known", spec.id(), "queue=" + spec.queue() + " phases=" + spec.phases().size());
    }
  }

  /** Takes note that a job was cancelled. */
  public void jobCancelled(String jobId, long nowMs) {
    JobState job = jobs.job(jobId);
    if (job != null && !job.isFinished()) {
      log.logDecision("job-cancelled", jobId, "status=" + job.status);
      runs.endJob(job, JobStatus.CANCELLED, nowMs);
    }
  }

  /** Applies a configuration, unless a newer one is held. */
  public void configure(ClusterConfig newConfig, long nowMs) {
    if (newConfig.version() > config.version()) {
      config = newConfig;
      starter.configure(newConfig);
      for (JobState job : List.copyOf(jobs.openJobs())) {
        runs.failIfAttemptsExhausted(job, nowMs);
      }
    }
  }

  /** Sets the availability zones in which nothing may start. */
  public void withdrawZones(Set<String> zones) {
    placement.withdrawZones(zones);
  }

  /** Takes over a worker that a former owner used; it may not be registered any more. */
  public void workerInherited(FleetMember member, long nowMs) {
    workers.addInherited(member, nowMs);
  }

  /** Takes note that all jobs of former owners were restored. */
  public void jobsRestored() {
    workers.holdPossibleTasks();
  }

  /** Takes note of a worker's registration. */
  public void workerRegistered(WorkerRegistration entry, long nowMs) {
    workers.registered(entry, nowMs);
  }

  /** Takes note that a worker is no longer registered; it may still run on. */
  public void workerUnregistered(String workerId, long nowMs) {
    workers.unregistered(workerId, nowMs);
  }

  /** Returns the workers that a later owner has to ask, or empty if the store lists them. */
  public Optional<List<FleetMember>> unpersistedFleet() {
    return workers.unpersisted();
  }

  /** Takes note that the store lists these workers. */
  public void fleetPersisted(List<FleetMember> members) {
    workers.persisted(members);
  }

  /** Stops or resumes starting tasks. */
  public void holdStarts(boolean hold) {
    startsHeld = hold;
    log.logDecision("starts-held", "fleet", "held=" + hold);
  }

  /** Returns whether a worker reported a newer owner. */
  public boolean isFenced() {
    return fenced;
  }

  /**
   * Returns looks that renew the leases of the workers known so far, before the jobs have been
   * read.
   *
   * <p>Answers the load after all nodes were gone: what runs lapses within seconds unless it is
   * renewed before the new owner has read what was accepted. The answers to these looks must be
   * held back until the jobs are known.
   */
  public List<DispatchCommand> renewInheritedLeases(long nowMs) {
    List<DispatchCommand> orders = new ArrayList<>();
    for (WorkerState worker : workers.workers()) {
      // The clock of a worker that was only read from the fleet may be minutes old.
      if (worker.registered) {
        addPollCommand(worker, orders, nowMs);
      }
    }
    return orders;
  }

  /** Returns all orders that are due now. */
  public List<DispatchCommand> decide(long nowMs, long wallMs) {
    List<DispatchCommand> orders = new ArrayList<>(pendingCommands);
    pendingCommands.clear();
    if (fenced) {
      return List.of();
    }
    expireLeases(nowMs);
    stallDetector.stopStalledRuns(workers.workers(), nowMs);
    if (!startsHeld) {
      orders.addAll(starter.start(jobs.openJobs(), workers.workers(), caughtUp, nowMs, wallMs));
    }
    for (WorkerState worker : workers.workers()) {
      addStopCommands(worker, orders, nowMs);
      addPollCommand(worker, orders, nowMs);
    }
    return orders;
  }

  private void expireLeases(long nowMs) {
    for (WorkerState worker : new ArrayList<>(workers.workers())) {
      boolean over =
          worker.lastAnswerMs + policy.takeoverTimeoutMs() < nowMs && worker.leaseExpiryMs < nowMs;
      if (worker.unreachable && (over || worker.deregistered)) {
        runs.allRunsLost(worker, worker.deregistered ? "left" : "lease over", nowMs);
        workers.releasePossibleTasks(worker);
        if (!worker.registered) {
          workers.forget(worker);
        }
      }
    }
    if (!caughtUp) {
      boolean all =
          workers.workers().stream().allMatch(w -> w.confirmed || w.possibleTasks.isPresent());
      caughtUp = all || nowMs > ownedSinceMs + policy.takeoverTimeoutMs();
      if (caughtUp) {
        log.logDecision(
            "caught-up", "fleet", "workers=" + workers.workers().size() + " all=" + all);
      }
    }
  }

  private static void addStopCommands(
      WorkerState worker, List<DispatchCommand> orders, long nowMs) {
    if (!worker.mayHaveStoppingRuns) {
      return;
    }
    worker.mayHaveStoppingRuns = false;
    for (Run run : worker.runs.values()) {
      worker.mayHaveStoppingRuns |= run.isStopping();
      boolean due = run.stopSentMs == 0 || nowMs - run.stopSentMs >= STOP_RETRY_INTERVAL_MS;
      if (run.isStopping() && !run.stopInFlight && run.stopAnsweredMs < 0 && due) {
        run.stopInFlight = true;
        run.stopSentMs = nowMs;
        orders.add(new DispatchCommand.Stop(worker.entry, run.task.key, run.number));
      }
    }
  }

  private void addPollCommand(WorkerState worker, List<DispatchCommand> orders, long nowMs) {
    worker.advanceAcknowledgement();
    boolean unkept = worker.lastEndSeen > worker.acknowledgedEnd;
    if (worker.pollInFlight || (nowMs < worker.nextPollMs && (unkept || worker.unreachable))) {
      return;
    }
    worker.pollInFlight = true;
    Optional<Long> lease = Optional.empty();
    OptionalLong leaseBase = worker.leaseBase(nowMs);
    // A worker that does not answer is given no longer lease: what it runs has to end by itself.
    if (leaseBase.isPresent() && !worker.unreachable) {
      lease = Optional.of(leaseBase.getAsLong() + policy.leaseMs());
      worker.leaseExtended(nowMs, policy);
    }
    long waitMs = unkept || worker.unreachable || !worker.confirmed ? 0 : pollWaitMs(worker);
    orders.add(new DispatchCommand.Poll(worker.entry, lease, worker.acknowledgedEnd, waitMs));
  }

  private long pollWaitMs(WorkerState worker) {
    if (TailLatencyController.appliesTo(worker)) {
      return policy.throttlingPollWaitMs();
    }
    return worker.runs.isEmpty() ? policy.idlePollWaitMs() : policy.busyPollWaitMs();
  }

  /** Takes note of a worker's answer to a look that was sent at a time. */
  public void pollAnswered(WorkerRegistration entry, PollReply reply, long sentMs, long nowMs) {
    WorkerState worker = workers.worker(entry.id());
    if (worker == null) {
      return;
    }
    worker.pollInFlight = false;
    if (reply instanceof PollReply.Answered seen) {
      pendingCommands.addAll(reconciler.reconcile(worker, seen.snapshot(), sentMs, nowMs));
      workers.releasePossibleTasks(worker);
      pendingCommands.addAll(latencyController.adjustCpuLimits(worker, nowMs));
      worker.nextPollMs = nowMs + UNPERSISTED_ENDS_POLL_DELAY_MS;
    } else if (reply instanceof PollReply.Fenced) {
      markFenced(worker.id());
    } else if (reply instanceof PollReply.Unavailable missing) {
      worker.nextPollMs = nowMs + POLL_RETRY_DELAY_MS;
      if (!worker.unreachable) {
        worker.unreachable = true;
        worker.persisted = false;
        log.logDecision("worker-silent", worker.id(), "reason=" + missing.reason());
      }
    }
  }

  /** Takes note of a worker's answer to a start. */
  public void startAnswered(DispatchCommand.Start start, CommandReply reply, long nowMs) {
    starter.startAnswered();
    Run run = start.run();
    if (run.worker.runs.get(run.task.key) != run) {
      return;
    }
    if (reply != CommandReply.OK) {
      log.logDecision(
          "run-answered", run, "reply=" + reply + " afterMs=" + (nowMs - run.startSentMs));
    }
    switch (reply) {
      case OK -> run.confirm(nowMs);
      case FENCED -> markFenced(run.worker.id());
      case UNKNOWN -> {
        // The order may be carried out later; a stop for its number rules that out.
        if (run.stage == Run.Stage.STARTING) {
          run.stop();
        }
      }
      case UNHEALTHY, MALFORMED, OTHER_INCARNATION -> {
        run.worker.suspend(nowMs);
        runs.drop(run, reply.name());
      }
      case RUN_SUPERSEDED, TOO_LATE, NO_ROOM, NO_PERMIT -> {
        run.task.notBeforeMs = nowMs + REFUSED_START_DELAY_MS;
        runs.drop(run, reply.name());
      }
    }
  }

  /** Takes note of a worker's answer to a stop. */
  public void stopAnswered(DispatchCommand.Stop stop, CommandReply reply, long nowMs) {
    WorkerState worker = workers.worker(stop.worker().id());
    Run run = worker == null ? null : worker.runs.get(stop.task());
    if (reply == CommandReply.FENCED) {
      markFenced(stop.worker().id());
    }
    if (run == null || run.number != stop.number()) {
      return;
    }
    run.stopInFlight = false;
    if (reply == CommandReply.OK) {
      run.stopAnsweredMs = nowMs;
    }
  }

  /** Takes note of a worker's answer to an order to pace a run. */
  public void cpuLimitAnswered(DispatchCommand.LimitCpu pace, CommandReply reply, long nowMs) {
    WorkerState worker = workers.worker(pace.worker().id());
    Run run = worker == null ? null : worker.runs.get(pace.task());
    if (run == null || run.number != pace.number()) {
      return;
    }
    run.cpuLimitChangedMs = nowMs;
    if (reply == CommandReply.OK) {
      run.cpuLimitPercent = pace.percent();
    } else {
      run.requestedCpuLimitPercent = run.cpuLimitPercent;
    }
  }

  private void markFenced(String workerId) {
    if (!fenced) {
      fenced = true;
      log.logDecision("fenced", workerId, "a newer owner has used this worker");
    }
  }

  /** Returns progress that has to be kept, or empty if there is none. */
  public Optional<ProgressBatch> unpersistedProgress() {
    return jobs.hasDirty()
        ? Optional.of(new ProgressBatch(jobs.dirtyEntries(JOBS_PER_COMMIT)))
        : Optional.empty();
  }

  /** Takes note that progress is kept, under a revision. */
  public void progressPersisted(ProgressBatch batch, long revision) {
    batch.entries().forEach(entry -> jobs.progressPersisted(entry, revision));
  }

  /** Takes note of the revision under which a job's progress stands; 0 if there is none. */
  public void correctRevision(String jobId, long revision) {
    jobs.correctRevision(jobId, revision);
  }

  /** Forgets jobs that were over before a time and returns their ids, at most some of them. */
  public List<String> retireJobs(long finishedBeforeMs, int most) {
    return jobs.retire(finishedBeforeMs, most);
  }

  /** Returns the number of jobs of a queue that no task of has started yet. */
  public int queuedJobCount(String queue) {
    int count = 0;
    for (JobState job : jobs.openJobs()) {
      if (job.spec.queue().equals(queue) && job.status == JobStatus.QUEUED) {
        count++;
      }
    }
    return count;
  }

  /** Returns what callers may be told of a job; empty if it is not known here. */
  public Optional<JobStatus> visibleStatus(String jobId) {
    return Optional.ofNullable(jobs.job(jobId)).map(JobState::visibleStatus);
  }

  /** Returns the number of jobs that are not over. */
  public int openJobCount() {
    return jobs.openJobs().size();
  }

  Collection<WorkerState> workers() {
    return workers.workers();
  }
}
