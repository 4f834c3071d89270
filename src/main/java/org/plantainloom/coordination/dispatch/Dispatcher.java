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
  private static final long RUNS_PER_TERM = 100_000;

  /** Entries of a transaction that one job's progress takes: its required revision, its value. */
  private static final int JOBS_PER_COMMIT = 15;

  /** How long a worker that did not answer is left before it is asked again. */
  private static final long RETRY_LOOK_MS = 200;

  private static final long RETRY_STOP_MS = 300;

  /** Pause before a refused start is tried again; a look in between corrects what was believed. */
  private static final long REFUSED_PAUSE_MS = 500;

  /** How long a look waits for ends to be kept before it repeats them. */
  private static final long UNKEPT_LOOK_MS = 400;

  private final DispatchPolicy policy;
  private final DecisionLog log;
  private final JobTable jobs = new JobTable();
  private final RunTable runs;
  private final WorkerReports reports;
  private final Interference interference = new Interference();
  private final TailGuard tailGuard = new TailGuard(interference);
  private final Placement placement = new Placement(interference);
  private final Starter starter;
  private final StallWatch stalls;
  private final WorkerTable fleet;
  private final List<DispatchCommand> extraOrders = new ArrayList<>();
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
    this.fleet = new WorkerTable(jobs, log);
    this.runs =
        new RunTable(
            jobs, log, (term - 1) * RUNS_PER_TERM + 1, name -> config.queue(name).orElse(null));
    this.reports = new WorkerReports(jobs, runs, log, policy);
    this.stalls = new StallWatch(log);
    this.starter = new Starter(policy, log, runs, placement);
  }

  /** Takes over a job that was accepted before this owner began. */
  public void restoreJob(JobSpec spec, JobProgress progress, long revision, long nowMs) {
    JobState job = jobs.add(spec, nowMs);
    job.restore(progress, revision);
    if (job.isOver()) {
      jobs.restoredAsOver(job, nowMs);
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
    if (job != null && !job.isOver()) {
      log.logDecision("job-cancelled", jobId, "status=" + job.status);
      runs.over(job, JobStatus.CANCELLED, nowMs);
    }
  }

  /** Applies a configuration, unless a newer one is held. */
  public void configure(ClusterConfig newConfig, long nowMs) {
    if (newConfig.version() > config.version()) {
      config = newConfig;
      starter.configure(newConfig);
      for (JobState job : List.copyOf(jobs.open())) {
        runs.failIfAttemptsSpent(job, nowMs);
      }
    }
  }

  /** Sets the availability zones in which nothing may start. */
  public void withdrawZones(Set<String> zones) {
    placement.zonesWithdrawn(zones);
  }

  /** Takes over a worker that a former owner used; it may not be registered any more. */
  public void workerInherited(FleetMember member, long nowMs) {
    fleet.inherited(member, nowMs);
  }

  /** Takes note that all jobs of former owners were restored. */
  public void jobsRestored() {
    fleet.holdPossibleTasks();
  }

  /** Takes note of a worker's registration. */
  public void workerRegistered(WorkerRegistration entry, long nowMs) {
    fleet.registered(entry, nowMs);
  }

  /** Takes note that a worker is no longer registered; it may still run on. */
  public void workerUnregistered(String workerId, long nowMs) {
    fleet.unregistered(workerId, nowMs);
  }

  /** Returns the workers that a later owner has to ask, or empty if the store lists them. */
  public Optional<List<FleetMember>> unpersistedFleet() {
    return fleet.unpersisted();
  }

  /** Takes note that the store lists these workers. */
  public void fleetPersisted(List<FleetMember> members) {
    fleet.persisted(members);
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
    for (WorkerState worker : fleet.workers()) {
      // The clock of a worker that was only read from the fleet may be minutes old.
      if (worker.registered) {
        orderLook(worker, orders, nowMs);
      }
    }
    return orders;
  }

  /** Returns all orders that are due now. */
  public List<DispatchCommand> decide(long nowMs, long wallMs) {
    List<DispatchCommand> orders = new ArrayList<>(extraOrders);
    extraOrders.clear();
    if (fenced) {
      return List.of();
    }
    expireLeases(nowMs);
    stalls.check(fleet.workers(), nowMs);
    if (!startsHeld) {
      orders.addAll(starter.start(jobs.open(), fleet.workers(), caughtUp, nowMs, wallMs));
    }
    for (WorkerState worker : fleet.workers()) {
      orderStops(worker, orders, nowMs);
      orderLook(worker, orders, nowMs);
    }
    return orders;
  }

  private void expireLeases(long nowMs) {
    for (WorkerState worker : new ArrayList<>(fleet.workers())) {
      boolean over =
          worker.lastAnswerMs + policy.takeoverTimeoutMs() < nowMs && worker.leaseOverMs < nowMs;
      if (worker.unreachable && (over || worker.left)) {
        runs.lostAll(worker, worker.left ? "left" : "lease over", nowMs);
        fleet.releasePossibleTasks(worker);
        if (!worker.registered) {
          fleet.forget(worker);
        }
      }
    }
    if (!caughtUp) {
      boolean all =
          fleet.workers().stream().allMatch(w -> w.confirmed || w.possibleTasks.isPresent());
      caughtUp = all || nowMs > ownedSinceMs + policy.takeoverTimeoutMs();
      if (caughtUp) {
        log.logDecision("caught-up", "fleet", "workers=" + fleet.workers().size() + " all=" + all);
      }
    }
  }

  private static void orderStops(WorkerState worker, List<DispatchCommand> orders, long nowMs) {
    if (!worker.mayHaveStops) {
      return;
    }
    worker.mayHaveStops = false;
    for (Run run : worker.runs.values()) {
      worker.mayHaveStops |= run.isStopping();
      boolean due = run.stopOrderedMs == 0 || nowMs - run.stopOrderedMs >= RETRY_STOP_MS;
      if (run.isStopping() && !run.stopInFlight && run.stopAnsweredMs < 0 && due) {
        run.stopInFlight = true;
        run.stopOrderedMs = nowMs;
        orders.add(new DispatchCommand.Stop(worker.entry, run.task.key, run.number));
      }
    }
  }

  private void orderLook(WorkerState worker, List<DispatchCommand> orders, long nowMs) {
    worker.advanceAcknowledged();
    boolean unkept = worker.endsSeen > worker.acknowledged;
    if (worker.lookInFlight || (nowMs < worker.nextLookMs && (unkept || worker.unreachable))) {
      return;
    }
    worker.lookInFlight = true;
    Optional<Long> lease = Optional.empty();
    OptionalLong leaseBase = worker.leaseBase(nowMs);
    // A worker that does not answer is given no longer lease: what it runs has to end by itself.
    if (leaseBase.isPresent() && !worker.unreachable) {
      lease = Optional.of(leaseBase.getAsLong() + policy.leaseMs());
      worker.leaseExtended(nowMs, policy);
    }
    long waitMs = unkept || worker.unreachable || !worker.confirmed ? 0 : waitMs(worker);
    orders.add(new DispatchCommand.Poll(worker.entry, lease, worker.acknowledged, waitMs));
  }

  private long waitMs(WorkerState worker) {
    if (TailGuard.isNeeded(worker)) {
      return policy.throttlingPollWaitMs();
    }
    return worker.runs.isEmpty() ? policy.idlePollWaitMs() : policy.busyPollWaitMs();
  }

  /** Takes note of a worker's answer to a look that was sent at a time. */
  public void pollAnswered(WorkerRegistration entry, PollReply reply, long sentMs, long nowMs) {
    WorkerState worker = fleet.worker(entry.id());
    if (worker == null) {
      return;
    }
    worker.lookInFlight = false;
    if (reply instanceof PollReply.Answered seen) {
      extraOrders.addAll(reports.apply(worker, seen.snapshot(), sentMs, nowMs));
      fleet.releasePossibleTasks(worker);
      extraOrders.addAll(tailGuard.adjust(worker, nowMs));
      worker.nextLookMs = nowMs + UNKEPT_LOOK_MS;
    } else if (reply instanceof PollReply.Fenced) {
      beFenced(worker.id());
    } else if (reply instanceof PollReply.Unavailable missing) {
      worker.nextLookMs = nowMs + RETRY_LOOK_MS;
      if (!worker.unreachable) {
        worker.unreachable = true;
        worker.persisted = false;
        log.logDecision("worker-silent", worker.id(), "reason=" + missing.reason());
      }
    }
  }

  /** Takes note of a worker's answer to a start. */
  public void startAnswered(DispatchCommand.Start start, CommandReply reply, long nowMs) {
    starter.answered();
    Run run = start.run();
    if (run.worker.runs.get(run.task.key) != run) {
      return;
    }
    if (reply != CommandReply.OK) {
      log.logDecision(
          "run-answered", run, "reply=" + reply + " afterMs=" + (nowMs - run.orderedMs));
    }
    switch (reply) {
      case OK -> run.confirm(nowMs);
      case FENCED -> beFenced(run.worker.id());
      case UNKNOWN -> {
        // The order may be carried out later; a stop for its number rules that out.
        if (run.stage == Run.Stage.STARTING) {
          run.stop();
        }
      }
      case UNHEALTHY, MALFORMED, OTHER_INCARNATION -> {
        run.worker.suspend(nowMs);
        runs.dropped(run, reply.name());
      }
      case RUN_SUPERSEDED, TOO_LATE, NO_ROOM, NO_PERMIT -> {
        run.task.notBeforeMs = nowMs + REFUSED_PAUSE_MS;
        runs.dropped(run, reply.name());
      }
    }
  }

  /** Takes note of a worker's answer to a stop. */
  public void stopAnswered(DispatchCommand.Stop stop, CommandReply reply, long nowMs) {
    WorkerState worker = fleet.worker(stop.worker().id());
    Run run = worker == null ? null : worker.runs.get(stop.task());
    if (reply == CommandReply.FENCED) {
      beFenced(stop.worker().id());
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
    WorkerState worker = fleet.worker(pace.worker().id());
    Run run = worker == null ? null : worker.runs.get(pace.task());
    if (run == null || run.number != pace.number()) {
      return;
    }
    run.paceChangedMs = nowMs;
    if (reply == CommandReply.OK) {
      run.pace = pace.percent();
    } else {
      run.orderedPace = run.pace;
    }
  }

  private void beFenced(String workerId) {
    if (!fenced) {
      fenced = true;
      log.logDecision("fenced", workerId, "a newer owner has used this worker");
    }
  }

  /** Returns progress that has to be kept, or empty if there is none. */
  public Optional<ProgressBatch> unpersistedProgress() {
    return jobs.hasDirty()
        ? Optional.of(new ProgressBatch(jobs.takeDirty(JOBS_PER_COMMIT)))
        : Optional.empty();
  }

  /** Takes note that progress is kept, under a revision. */
  public void progressPersisted(ProgressBatch batch, long revision) {
    batch.entries().forEach(entry -> jobs.kept(entry, revision));
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
    for (JobState job : jobs.open()) {
      if (job.spec.queue().equals(queue) && job.status == JobStatus.QUEUED) {
        count++;
      }
    }
    return count;
  }

  /** Returns what callers may be told of a job; empty if it is not known here. */
  public Optional<JobStatus> visibleStatus(String jobId) {
    return Optional.ofNullable(jobs.job(jobId)).map(JobState::shownStatus);
  }

  /** Returns the number of jobs that are not over. */
  public int openJobCount() {
    return jobs.open().size();
  }

  Collection<WorkerState> workers() {
    return fleet.workers();
  }
}
