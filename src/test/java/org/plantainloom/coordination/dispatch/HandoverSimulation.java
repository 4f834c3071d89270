package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.TaskKey;

/**
 * Owners that follow each other, workers that check fencing tokens, and a network that delays
 * messages, loses answers and carries out orders late. One schedule per seed, in virtual time.
 */
final class HandoverSimulation {
  private static final int WORKERS = 4;
  private static final int JOBS = 6;
  private static final long FAULTS_END_MS = 15_000;
  private static final long END_MS = 60_000;

  /** Long tasks that are lost begin again, so that jobs end later. */
  private static final long END_OF_LONG_RUNS_MS = 90_000;

  private static final long STEP_MS = 25;
  static final long MAX_LEASE_MS = 6_000;
  private static final long STOP_GRACE_MS = 400;

  /** A call without an answer counts as lost after this time. */
  private static final long CALL_TIMEOUT_MS = 600;

  /** An owner that notices a longer gap between its ticks confirms its ownership first. */
  private static final long PAUSE_THRESHOLD_MS = 800;

  /** How long a worker that only new owners cannot reach stays out of their reach. */
  private static final long CUT_MS = 16_000;

  private final boolean longRuns;
  private final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<HandoverWorker> workers = new ArrayList<>();
  private final List<Owner> owners = new ArrayList<>();
  private final List<JobSpec> jobs = new ArrayList<>();
  private final Map<String, JobProgress> stored = new HashMap<>();
  private final Set<TaskKey> persistedEnds = new HashSet<>();
  private List<FleetMember> storedFleet = List.of();
  private final List<String> violations = new ArrayList<>();
  private long nowMs = 1_000_000;
  private final long startMs = nowMs;
  private long sequence;
  private long revision;

  private record Event(long timeMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return timeMs != other.timeMs
          ? Long.compare(timeMs, other.timeMs)
          : Long.compare(order, other.order);
    }
  }

  /**
   * Creates a schedule.
   *
   * @param longRuns whether tasks outlast several leases, and new owners cannot reach some worker
   *     that their predecessors reach
   */
  HandoverSimulation(long seed, boolean longRuns) {
    this.longRuns = longRuns;
    this.random = new Random(seed);
    for (int i = 0; i < WORKERS; i++) {
      workers.add(
          new HandoverWorker("w" + i, () -> nowMs, this::nextRunTimeMs, persistedEnds, violations));
    }
  }

  private int nextRunTimeMs() {
    return 300 + random.nextInt(longRuns ? 15_000 : 2_500);
  }

  /** Runs the schedule and returns what was broken. */
  List<String> run() {
    owners.add(new Owner(1));
    for (int i = 0; i < JOBS; i++) {
      String id = "job-" + i;
      after(random.nextInt(8_000), () -> submit(id));
    }
    for (int i = 0; i < 4; i++) {
      after(1_000 + random.nextInt((int) FAULTS_END_MS - 1_000), this::injectFault);
    }
    while (nowMs < startMs + (longRuns ? END_OF_LONG_RUNS_MS : END_MS)) {
      nowMs += STEP_MS;
      while (!events.isEmpty() && events.peek().timeMs() <= nowMs) {
        events.poll().action().run();
      }
      workers.forEach(HandoverWorker::advance);
      owners.forEach(Owner::tick);
      checkOverlaps();
    }
    for (JobSpec job : jobs) {
      JobStatus status = stored.getOrDefault(job.id(), JobProgress.NONE).status();
      if (status != JobStatus.COMPLETED) {
        violations.add(job.id() + " is " + status + " at the end");
      }
    }
    return violations;
  }

  private void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, sequence++, action));
  }

  private void submit(String id) {
    JobSpec job =
        DispatcherSimulation.job(
            id,
            "urgent",
            DispatcherSimulation.tasks(3, 1_000),
            DispatcherSimulation.tasks(2, 1_000, 0));
    jobs.add(job);
    currentOwner().dispatcher.jobSubmitted(job, nowMs);
  }

  private Owner currentOwner() {
    return owners.get(owners.size() - 1);
  }

  /** Pauses the owner, replaces it, or does both in either order; or silences a worker. */
  private void injectFault() {
    Owner owner = currentOwner();
    switch (random.nextInt(6)) {
      case 0 -> owner.pausedUntilMs = nowMs + 500 + random.nextInt(6_000);
      case 1 -> {
        owner.pausedUntilMs = nowMs + 500 + random.nextInt(6_000);
        after(random.nextInt(4_000), this::replaceOwner);
      }
      case 2 -> replaceOwner();
      case 3 -> {
        replaceOwner();
        after(random.nextInt(1_500), this::replaceOwner);
      }
      case 4 -> loseRegistration(workers.get(random.nextInt(WORKERS)));
      default -> {
        HandoverWorker worker = workers.get(random.nextInt(WORKERS));
        worker.silentUntilMs = nowMs + random.nextInt(9_000);
      }
    }
  }

  /** A registration expires with the store although its worker lives, and is back seconds later. */
  private void loseRegistration(HandoverWorker worker) {
    if (random.nextBoolean()) {
      worker.draining = true;
      currentOwner().dispatcher.workerRegistered(worker.registration(), nowMs);
    }
    worker.registered = false;
    currentOwner().dispatcher.workerUnregistered(worker.id);
    if (random.nextBoolean()) {
      worker.silentUntilMs = nowMs + random.nextInt(3_000);
    }
    after(
        500 + random.nextInt(1_500),
        () -> {
          worker.registered = true;
          worker.draining = false;
          currentOwner().dispatcher.workerRegistered(worker.registration(), nowMs);
        });
  }

  private void replaceOwner() {
    Owner successor = new Owner(owners.size() + 1);
    successor.dispatcher.previousOwnersKnown();
    List<Owner> predecessors = List.copyOf(owners);
    owners.add(successor);
    if (longRuns && random.nextInt(3) == 0) {
      HandoverWorker cut = workers.get(random.nextInt(WORKERS));
      cut.cutFromTerm = successor.term;
      cut.cutUntilMs = nowMs + CUT_MS;
    }
    if (random.nextBoolean()) {
      after(random.nextInt(3_000), () -> stopPredecessors(successor, predecessors));
    }
  }

  /** The new owner asks until each of the owners before it has stopped; a paused one cannot. */
  private void stopPredecessors(Owner successor, List<Owner> predecessors) {
    for (Owner predecessor : predecessors) {
      if (nowMs < predecessor.pausedUntilMs) {
        after(200, () -> stopPredecessors(successor, predecessors));
        return;
      }
      predecessor.stopped = true;
    }
    successor.dispatcher.previousOwnersStopped(nowMs);
  }

  private void checkOverlaps() {
    Map<TaskKey, String> running = new HashMap<>();
    for (HandoverWorker worker : workers) {
      for (TaskKey task : worker.running.keySet()) {
        String other = running.put(task, worker.id);
        if (other != null) {
          violations.add(task + " runs on " + other + " and " + worker.id);
        }
      }
    }
  }

  /** A process that owns the workers, or believes that it does. */
  private final class Owner {
    final int term;
    final Dispatcher dispatcher;
    long pausedUntilMs;
    long lastTickMs = nowMs;
    boolean stopped;
    private final List<Runnable> waitingReplies = new ArrayList<>();

    Owner(int term) {
      this.term = term;
      this.dispatcher =
          new Dispatcher(
              term,
              DispatchPolicy.of(MAX_LEASE_MS, STOP_GRACE_MS),
              (event, subject, detail) -> {},
              nowMs);
      dispatcher.configure(DispatcherSimulation.config(), nowMs);
      storedFleet.forEach(member -> dispatcher.workerInherited(member, nowMs));
      workers.stream()
          .filter(worker -> worker.registered)
          .forEach(worker -> dispatcher.workerRegistered(worker.registration(), nowMs));
      for (JobSpec job : jobs) {
        dispatcher.restoreJob(job, stored.getOrDefault(job.id(), JobProgress.NONE), 0, nowMs);
      }
      dispatcher.jobsRestored();
    }

    void receive(Runnable reply) {
      if (!stopped) {
        waitingReplies.add(reply);
      }
    }

    void tick() {
      if (stopped || nowMs < pausedUntilMs) {
        return;
      }
      if (nowMs - lastTickMs > PAUSE_THRESHOLD_MS) {
        dispatcher.holdStarts(true);
        after(random.nextInt(300), this::confirm);
      }
      lastTickMs = nowMs;
      waitingReplies.forEach(Runnable::run);
      waitingReplies.clear();
      persist();
      if (dispatcher.isFenced()) {
        stopped = true;
        return;
      }
      dispatcher.decide(nowMs, nowMs).forEach(command -> send(this, command));
    }

    /** The store tells whether the ownership is still held. */
    private void confirm() {
      if (currentOwner() == this) {
        dispatcher.holdStarts(false);
      } else if (random.nextBoolean()) {
        stopped = true;
      }
    }

    /** Writes require that the ownership is unchanged, so a former owner persists nothing. */
    private void persist() {
      if (currentOwner() != this) {
        return;
      }
      dispatcher
          .unpersistedFleet()
          .ifPresent(
              fleet -> {
                storedFleet = fleet;
                dispatcher.fleetPersisted(fleet, dispatcher.isFleetIncomplete());
              });
      dispatcher
          .unpersistedProgress()
          .ifPresent(
              batch -> {
                batch.entries().forEach(entry -> stored.put(entry.jobId(), entry.progress()));
                dispatcher.progressPersisted(batch, ++revision);
              });
    }
  }

  /** Sends a command; it and its answer take their time, and either may be lost. */
  private void send(Owner owner, DispatchCommand command) {
    HandoverWorker worker =
        workers.stream().filter(w -> w.id.equals(command.worker().id())).findFirst().orElseThrow();
    long sentMs = nowMs;
    boolean faulty = nowMs < startMs + FAULTS_END_MS && random.nextInt(40) == 0;
    boolean late = faulty && !(command instanceof DispatchCommand.Poll);
    long delayMs = late ? 2_000 + random.nextInt(5_000) : 1 + random.nextInt(30);
    after(
        delayMs,
        () -> {
          if (nowMs < worker.silentUntilMs || worker.isCutFrom(owner.term)) {
            after(CALL_TIMEOUT_MS, () -> owner.receive(lost(owner, command)));
            return;
          }
          Runnable reply = worker.execute(owner.term, owner.dispatcher, command, sentMs);
          if (!faulty) {
            after(1 + random.nextInt(30) + replyDelayMs(command), () -> owner.receive(reply));
          }
        });
    if (faulty) {
      after(CALL_TIMEOUT_MS + replyDelayMs(command), () -> owner.receive(lost(owner, command)));
    }
  }

  private static long replyDelayMs(DispatchCommand command) {
    return command instanceof DispatchCommand.Poll poll ? Math.min(poll.waitMs(), 200) : 0;
  }

  private Runnable lost(Owner owner, DispatchCommand command) {
    Dispatcher dispatcher = owner.dispatcher;
    if (command instanceof DispatchCommand.Start start) {
      return () -> dispatcher.startAnswered(start, CommandReply.UNKNOWN, nowMs);
    } else if (command instanceof DispatchCommand.Stop stop) {
      return () -> dispatcher.stopAnswered(stop, CommandReply.UNKNOWN, nowMs);
    }
    return () ->
        dispatcher.pollAnswered(
            command.worker(), new PollReply.Unavailable("no answer"), nowMs, nowMs);
  }
}
