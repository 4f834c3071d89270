package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.QueueConfig;
import org.plantainloom.state.job.TaskKey;

/**
 * Runs a dispatcher against simulated workers in virtual time. Progress is persisted at once unless
 * {@link #persisting} is false.
 */
final class DispatcherSimulation {
  static final long MAX_LEASE_MS = 6_000;
  static final long STOP_GRACE_MS = 400;
  private static final long STEP_MS = 10;
  private static final long SAMPLE_INTERVAL_MS = 400;

  /** How long a caller waits beyond the time that a poll may take if it was lost on its way. */
  static final long POLL_SLACK_MS = 700;

  final List<SimulatedWorker> workers = new ArrayList<>();
  final List<String> log = new ArrayList<>();
  final Map<String, JobProgress> persistedProgress = new HashMap<>();
  final List<DispatchCommand> commands = new ArrayList<>();
  SimulatedWorker.Disturbance disturbance = (serving, fill) -> 0;
  double taskDurationMs = 200;
  boolean persisting = true;

  /** Whether the list of workers can be written. */
  boolean persistingFleet = true;

  /** How long a caller waits beyond the time that a poll may take if the worker is unreachable. */
  long silenceSlackMs;

  /** Time that a start takes to its worker, and an ended run to be seen. */
  long delayMs;

  /** Whether the store confirms the ownership of the current owner. */
  boolean storeReachable = true;

  /** Whether the owner gets replies to its watch of the jobs. */
  boolean watchAnswered = true;

  long nowMs = 1_000_000;
  Dispatcher dispatcher;
  private OwnershipLease ownership;
  private final long maxLeaseMs;

  /** Whether confirmations name what workers' clocks show. */
  boolean namingWorkerClocks = true;

  /** Whether the node that becomes the next owner reads the confirmations of the current one. */
  boolean samplingConfirmations = true;

  private final OwnerClocks clocks = new OwnerClocks();
  private Optional<OwnerTime> lastConfirmation = Optional.empty();
  private List<WorkerClockReading> lastWorkerClocks = List.of();

  /** Whether the current owner has stored its first confirmation, from which on it may act. */
  private boolean begun;

  private long lastSampleMs;
  private long term;

  /** The owner that wrote the stored list of workers. */
  private long fleetTerm;

  private OptionalLong previousOwnersStoppedMs = OptionalLong.empty();
  private final List<PendingPoll> pendingPolls = new ArrayList<>();
  private final List<PendingStart> pendingStarts = new ArrayList<>();
  private List<FleetMember> persistedFleet = List.of();
  private long revision;

  /** A start on its way to a worker. */
  private record PendingStart(DispatchCommand.Start command, SimulatedWorker worker, long dueMs) {}

  /** A poll that was sent to one life of a worker; another life does not answer it. */
  private record PendingPoll(
      DispatchCommand.Poll command, SimulatedWorker worker, long startedAtMs, long sentMs) {
    boolean isLost() {
      return worker.unreachable || isOfFormerLife();
    }

    long lossNoticedMs(long silenceSlackMs) {
      return sentMs + command.waitMs() + (isOfFormerLife() ? POLL_SLACK_MS : silenceSlackMs);
    }

    private boolean isOfFormerLife() {
      return worker.registration.startedAtMs() != startedAtMs;
    }
  }

  DispatcherSimulation(int workerCount, int cores) {
    this(workerCount, cores, MAX_LEASE_MS);
  }

  /**
   * Creates a simulation.
   *
   * @param maxLeaseMs longest lease that the platform allows
   */
  DispatcherSimulation(int workerCount, int cores, long maxLeaseMs) {
    this.maxLeaseMs = maxLeaseMs;
    for (int i = 0; i < workerCount; i++) {
      workers.add(new SimulatedWorker("w" + i, cores));
    }
    startOwner(1);
  }

  /** Starts a new owner that knows the workers but not the configuration of the queues. */
  DispatcherSimulation startOwnerWithoutConfig(long term) {
    return startOwner(term, ClusterConfig.UNKNOWN);
  }

  /** Starts a new owner; the workers and their runs continue. */
  DispatcherSimulation startOwner(long term) {
    return startOwner(term, config());
  }

  /** Starts a new owner that reads a stored list of workers. */
  DispatcherSimulation startOwnerWith(long term, List<FleetMember> fleet) {
    persistedFleet = fleet;
    return startOwner(term);
  }

  private DispatcherSimulation startOwner(long newTerm, ClusterConfig config) {
    term = newTerm;
    ownership = new OwnershipLease();
    begun = false;
    dispatcher =
        new Dispatcher(
            newTerm,
            DispatchPolicy.of(maxLeaseMs, STOP_GRACE_MS),
            ownership,
            (event, subject, detail) -> log.add(nowMs + " " + event + " " + subject + " " + detail),
            nowMs);
    dispatcher.configure(config, nowMs);
    dispatcher.previousOwnersKnown();
    lastConfirmation
        .map(last -> new LastConfirmation(last, Optional.of(lastWorkerClocks), clocks))
        .ifPresent(dispatcher::previousOwnerConfirmed);
    previousOwnersStoppedMs.ifPresent(dispatcher::previousOwnersStopped);
    persistedFleet.forEach(member -> dispatcher.workerInherited(convert(member), nowMs));
    dispatcher.inheritedWorkers().allRead(nowMs);
    workers.forEach(worker -> dispatcher.workerRegistered(worker.registration, nowMs));
    pendingPolls.clear();
    pendingStarts.clear();
    persistFleet();
    return this;
  }

  static ClusterConfig config() {
    return new ClusterConfig(1, List.of(queue("urgent", 0), queue("fill", 2)), List.of(), 10_000);
  }

  private static QueueConfig queue(String name, int priority) {
    return new QueueConfig(
        name, "host", "/" + name + "/", "service", priority, 3, 1.5, 300, 3_000, false);
  }

  static JobSpec job(String id, String queue, PhaseSpec... phases) {
    return new JobSpec(id, queue, "text", List.of(phases), 0, 0, 0, 0);
  }

  static PhaseSpec tasks(int count, int cpuMillis, int... after) {
    return phase(count, cpuMillis, "", false, false, after);
  }

  static PhaseSpec serving(int count, int cpuMillis, String image) {
    return phase(count, cpuMillis, image, true, false);
  }

  static PhaseSpec fill(int count, int cpuMillis, String image, int... after) {
    return phase(count, cpuMillis, image, false, true, after);
  }

  private static PhaseSpec phase(
      int count, int cpuMillis, String image, boolean lasting, boolean fills, int... after) {
    List<Integer> before = new ArrayList<>();
    for (int index : after) {
      before.add(index);
    }
    return new PhaseSpec(
        count,
        new ResourceVector(cpuMillis, 100, 0),
        500,
        before,
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        lasting,
        image,
        lasting && !image.isEmpty() ? 18 : 0,
        fills,
        -1);
  }

  DispatcherSimulation submit(JobSpec job) {
    dispatcher.jobSubmitted(job, nowMs);
    return this;
  }

  DispatcherSimulation run(long ms) {
    long end = nowMs + ms;
    while (nowMs < end) {
      nowMs += STEP_MS;
      workers.forEach(worker -> worker.advance(nowMs, STEP_MS, disturbance));
      exchangeConfirmations();
      if (watchAnswered) {
        dispatcher.jobsKnownAsOf(nowMs, nowMs);
      }
      answerPolls();
      deliverStarts();
      persist();
      List<DispatchCommand> next = dispatcher.decide(nowMs, nowMs);
      commands.addAll(next);
      next.forEach(this::send);
    }
    return this;
  }

  private void exchangeConfirmations() {
    boolean due = ownership.ageMs(nowMs, nowMs) >= OwnershipLease.CONFIRM_INTERVAL_MS;
    if (begun
        && storeReachable
        && (due || ownership.isConfirmationNeeded(ownership.confirmedMs()))) {
      confirm();
    }
    if (samplingConfirmations && nowMs - lastSampleMs >= SAMPLE_INTERVAL_MS) {
      lastSampleMs = nowMs;
      lastConfirmation.ifPresent(last -> clocks.sampled(last, nowMs));
    }
  }

  private void confirm() {
    ownership.confirm(nowMs, nowMs);
    lastConfirmation = Optional.of(new OwnerTime(term, nowMs, nowMs));
    lastWorkerClocks = namingWorkerClocks ? dispatcher.workerClocks(nowMs, nowMs) : List.of();
  }

  /** Stores the list of workers with the first confirmation, once it is ready. */
  void begin() {
    if (dispatcher.inheritedWorkers().isListReady(nowMs)) {
      begun = true;
      store(dispatcher.firstFleet());
      confirm();
    }
  }

  /** Lets time pass without an owner; its last commands have been executed. */
  DispatcherSimulation runWithoutOwner(long ms) {
    long end = nowMs + ms;
    while (nowMs < end) {
      nowMs += STEP_MS;
      workers.forEach(worker -> worker.advance(nowMs, STEP_MS, disturbance));
    }
    return this;
  }

  /** The process of the previous owner runs again, so that it is known to send no commands. */
  DispatcherSimulation previousOwnerIsRestarted() {
    previousOwnersStoppedMs = OptionalLong.of(nowMs);
    return this;
  }

  /** The previous owner does not tell the next one when it stopped. */
  DispatcherSimulation previousOwnerNeverAnswers() {
    previousOwnersStoppedMs = OptionalLong.empty();
    return this;
  }

  /** Returns a stored worker with what the next owner knows of the clocks of the one before. */
  private FleetMember convert(FleetMember member) {
    Optional<OwnerTime> leaseEnd =
        member.leaseEndMs().stream()
            .mapToObj(endMs -> new OwnerTime(fleetTerm, endMs, endMs))
            .findFirst();
    return new FleetMember(
        member.entry(),
        member.possibleTasks(),
        member.silent(),
        leaseEnd.map(clocks::latestMs).orElse(OptionalLong.empty()),
        leaseEnd);
  }

  private void persistFleet() {
    if (!persistingFleet) {
      return;
    }
    if (!begun) {
      begin();
    } else {
      dispatcher.unpersistedFleet().ifPresent(this::store);
    }
  }

  private void store(List<FleetMember> fleet) {
    persistedFleet = fleet;
    fleetTerm = term;
    dispatcher.fleetPersisted(fleet, dispatcher.isFleetIncomplete());
  }

  private void persist() {
    persistFleet();
    Optional<ProgressBatch> batch =
        persisting ? dispatcher.unpersistedProgress() : Optional.empty();
    if (batch.isPresent()) {
      batch
          .get()
          .entries()
          .forEach(entry -> persistedProgress.put(entry.jobId(), entry.progress()));
      dispatcher.progressPersisted(batch.get(), ++revision);
    }
  }

  private void deliverStarts() {
    List<PendingStart> due =
        pendingStarts.stream().filter(start -> nowMs >= start.dueMs()).toList();
    pendingStarts.removeAll(due);
    due.forEach(
        start ->
            dispatcher.startAnswered(
                start.command(), start.worker().start(start.command(), taskDurationMs), nowMs));
  }

  private void answerPolls() {
    for (Iterator<PendingPoll> it = pendingPolls.iterator(); it.hasNext(); ) {
      PendingPoll poll = it.next();
      SimulatedWorker worker = poll.worker();
      boolean due =
          nowMs >= poll.sentMs() + poll.command().waitMs()
              || (!worker.ended.isEmpty() && nowMs >= poll.sentMs() + delayMs);
      if (poll.isLost() && nowMs >= poll.lossNoticedMs(silenceSlackMs)) {
        it.remove();
        dispatcher.pollAnswered(
            worker.registration, new PollReply.Unavailable("no answer"), poll.sentMs(), nowMs);
      } else if (!poll.isLost() && due) {
        it.remove();
        dispatcher.pollAnswered(
            worker.registration,
            new PollReply.Answered(worker.snapshot(nowMs)),
            poll.sentMs(),
            nowMs);
      }
    }
  }

  private void send(DispatchCommand command) {
    SimulatedWorker worker =
        workers.stream()
            .filter(w -> w.registration.id().equals(command.worker().id()))
            .findFirst()
            .get();
    if (command instanceof DispatchCommand.Start start && delayMs > 0) {
      pendingStarts.add(new PendingStart(start, worker, nowMs + delayMs));
    } else if (command instanceof DispatchCommand.Start start) {
      dispatcher.startAnswered(start, worker.start(start, taskDurationMs), nowMs);
    } else if (command instanceof DispatchCommand.Stop stop) {
      dispatcher.stopAnswered(stop, worker.stop(stop), nowMs);
    } else if (command instanceof DispatchCommand.LimitCpu limit) {
      worker.limitCpu(limit);
      dispatcher.cpuLimitAnswered(limit, CommandReply.OK, nowMs);
    } else if (command instanceof DispatchCommand.Renewal renewal) {
      if (!worker.unreachable) {
        worker.leaseUntilMs = Math.max(worker.leaseUntilMs, renewal.leaseUntilMs());
      }
    } else if (command instanceof DispatchCommand.Poll poll) {
      if (!worker.unreachable) {
        poll.leaseUntilMs()
            .ifPresent(end -> worker.leaseUntilMs = Math.max(worker.leaseUntilMs, end));
        worker.acknowledge(poll.acknowledged());
      }
      pendingPolls.add(new PendingPoll(poll, worker, worker.registration.startedAtMs(), nowMs));
    }
  }

  JobStatus status(String jobId) {
    return persistedProgress.getOrDefault(jobId, JobProgress.NONE).status();
  }

  int runningCount() {
    return workers.stream().mapToInt(worker -> worker.running.size()).sum();
  }

  int startCount(TaskKey task) {
    return workers.stream().mapToInt(worker -> worker.starts.getOrDefault(task, 0)).sum();
  }

  long runningCopies(TaskKey task) {
    return workers.stream().filter(worker -> worker.running.containsKey(task)).count();
  }
}
