package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.TaskKey;

/**
 * Owners that follow each other, workers that check fencing tokens, and a network that delays
 * messages, loses answers, carries out orders late and cuts off an availability zone. The clock of
 * each process runs at a rate of its own. One schedule per seed, in virtual time.
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

  /** The rates at which clocks may run. */
  private static final double[] CLOCK_RATES = {0.98, 1, 1.02};

  private static final long SHORTEST_ZONE_CUT_MS = 3_000;
  private static final int ZONE_CUT_RANGE_MS = 12_000;

  /** The registration of a worker that does not reach the store is removed after this time. */
  private static final long REGISTRATION_EXPIRY_MS = 3_300;

  /** How long a worker that only new owners cannot reach stays out of their reach. */
  private static final long CUT_MS = 16_000;

  private final HandoverScenario scenario;
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
  private ZoneCut zoneCut = ZoneCut.NONE;
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

  HandoverSimulation(long seed, HandoverScenario scenario) {
    this.scenario = scenario;
    this.random = new Random(seed);
    for (int i = 0; i < WORKERS; i++) {
      double rate = clockRate();
      workers.add(
          new HandoverWorker(
              "w" + i,
              i % 2,
              () -> localTime(rate),
              this::nextRunTimeMs,
              persistedEnds,
              violations));
    }
  }

  private double clockRate() {
    return CLOCK_RATES[random.nextInt(CLOCK_RATES.length)];
  }

  private long localTime(double rate) {
    return startMs + (long) ((nowMs - startMs) * rate);
  }

  private int nextRunTimeMs() {
    return 300 + random.nextInt(scenario.hasLongRuns() ? 15_000 : 2_500);
  }

  /** Runs the schedule and returns what was broken. */
  List<String> run() {
    owners.add(new Owner(1, random.nextInt(2)));
    for (int i = 0; i < JOBS; i++) {
      String id = "job-" + i;
      after(random.nextInt(8_000), () -> submit(id));
    }
    for (int i = 0; i < 4; i++) {
      after(1_000 + random.nextInt((int) FAULTS_END_MS - 1_000), this::injectFault);
    }
    if (scenario.hasZoneCuts()) {
      after(2_000 + random.nextInt(8_000), this::cutZone);
    }
    while (nowMs < startMs + (scenario.hasLongRuns() ? END_OF_LONG_RUNS_MS : END_MS)) {
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
      tellOwner(owner -> owner.dispatcher.workerRegistered(worker.registration(), owner.time()));
    }
    worker.registered = false;
    tellOwner(owner -> owner.dispatcher.workerUnregistered(worker.id));
    if (random.nextBoolean()) {
      worker.silentUntilMs = nowMs + random.nextInt(3_000);
    }
    after(500 + random.nextInt(1_500), () -> registerAgain(worker));
  }

  private void registerAgain(HandoverWorker worker) {
    if (zoneCut.drops(worker.zone, ZoneCut.STORE_ZONE, nowMs)) {
      after(500, () -> registerAgain(worker));
      return;
    }
    worker.registered = true;
    worker.draining = false;
    tellOwner(owner -> owner.dispatcher.workerRegistered(worker.registration(), owner.time()));
  }

  /** Passes a change in the store to the owner; one that is cut off learns it with the next. */
  private void tellOwner(Consumer<Owner> change) {
    Owner owner = currentOwner();
    if (owner.reachesStore()) {
      change.accept(owner);
    }
  }

  /** Cuts one zone off from the other one and thus from the store. */
  private void cutZone() {
    long cutMs = SHORTEST_ZONE_CUT_MS + random.nextInt(ZONE_CUT_RANGE_MS);
    int directions = random.nextInt(4);
    zoneCut = new ZoneCut(nowMs + cutMs, directions != 0, directions != 1);
    Owner owner = currentOwner();
    if (owner.zone != ZoneCut.STORE_ZONE) {
      // The store may also remove the key of an owner that it cannot reach at once.
      after(
          random.nextBoolean() ? OwnershipLease.KEY_TTL_MS : random.nextInt(500),
          () -> replaceIfCutOff(owner));
    }
    for (HandoverWorker worker : workers) {
      if (worker.zone != ZoneCut.STORE_ZONE && random.nextBoolean()) {
        after(REGISTRATION_EXPIRY_MS, () -> loseRegistration(worker));
      }
    }
  }

  private void replaceIfCutOff(Owner owner) {
    if (currentOwner() == owner) {
      replaceOwner();
    }
  }

  private void replaceOwner() {
    int zone = nowMs < zoneCut.untilMs() ? ZoneCut.STORE_ZONE : random.nextInt(2);
    Owner successor = new Owner(owners.size() + 1, zone);
    successor.dispatcher.previousOwnersKnown();
    List<Owner> predecessors = List.copyOf(owners);
    owners.add(successor);
    if (scenario.hasLongRuns() && random.nextInt(3) == 0) {
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
      if (nowMs < predecessor.pausedUntilMs
          || zoneCut.drops(successor.zone, predecessor.zone, nowMs)
          || zoneCut.drops(predecessor.zone, successor.zone, nowMs)) {
        after(200, () -> stopPredecessors(successor, predecessors));
        return;
      }
      predecessor.stopped = true;
    }
    successor.dispatcher.previousOwnersStopped(successor.time());
  }

  private void checkOverlaps() {
    Map<TaskKey, String> running = new HashMap<>();
    for (HandoverWorker worker : workers) {
      for (TaskKey task : worker.running.keySet()) {
        String other = running.put(task, worker.id);
        String violation = task + " runs on " + other + " and " + worker.id;
        if (other != null && !violations.contains(violation)) {
          violations.add(violation);
        }
      }
    }
  }

  /** A process that owns the workers, or believes that it does. */
  private final class Owner {
    final int term;
    final int zone;
    final Dispatcher dispatcher;
    long pausedUntilMs;
    boolean stopped;
    private final double rate = clockRate();
    private final OwnershipLease ownership = new OwnershipLease();
    private final List<Runnable> waitingReplies = new ArrayList<>();
    private int knownJobs;
    private long lastRenewalMs = nowMs;

    Owner(int term, int zone) {
      this.term = term;
      this.zone = zone;
      ownership.confirm(time(), time());
      this.dispatcher =
          new Dispatcher(
              term,
              DispatchPolicy.of(MAX_LEASE_MS, STOP_GRACE_MS),
              ownership,
              (event, subject, detail) -> {},
              time());
      dispatcher.configure(DispatcherSimulation.config(), time());
      storedFleet.forEach(member -> dispatcher.workerInherited(member, time()));
      workers.stream()
          .filter(worker -> worker.registered)
          .forEach(worker -> dispatcher.workerRegistered(worker.registration(), time()));
      for (JobSpec job : jobs) {
        dispatcher.restoreJob(job, stored.getOrDefault(job.id(), JobProgress.NONE), 0, time());
      }
      knownJobs = jobs.size();
      dispatcher.jobsRestored();
    }

    /** The monotonic clock of this process. */
    long time() {
      return localTime(rate);
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
      waitingReplies.forEach(Runnable::run);
      waitingReplies.clear();
      if (currentOwner() == this && reachesStore()) {
        exchangeWithStore();
      }
      if (dispatcher.isFenced()) {
        stopped = true;
        return;
      }
      dispatcher.decide(time(), time()).forEach(command -> send(this, command));
    }

    private boolean reachesStore() {
      return !zoneCut.drops(zone, ZoneCut.STORE_ZONE, nowMs)
          && !zoneCut.drops(ZoneCut.STORE_ZONE, zone, nowMs);
    }

    /**
     * Renews the ownership, reads new jobs and persists. A former owner does none of that; it may
     * not notice, though, that it has been replaced.
     */
    private void exchangeWithStore() {
      if (nowMs - lastRenewalMs >= OwnershipLease.RENEW_INTERVAL_MS) {
        lastRenewalMs = nowMs;
        long sentMs = time();
        // The store carries the renewal out at once; its reply may take some time.
        after(random.nextInt(300), () -> receive(() -> ownership.confirm(sentMs, sentMs)));
      }
      while (knownJobs < jobs.size()) {
        dispatcher.jobSubmitted(jobs.get(knownJobs++), time());
      }
      persist();
    }

    private void persist() {
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
    long sentMs = owner.time();
    boolean faulty = nowMs < startMs + FAULTS_END_MS && random.nextInt(40) == 0;
    boolean late = faulty && !(command instanceof DispatchCommand.Poll);
    long delayMs = late ? 2_000 + random.nextInt(5_000) : 1 + random.nextInt(30);
    after(
        delayMs,
        () -> {
          if (nowMs < worker.silentUntilMs
              || worker.isCutFrom(owner.term, nowMs)
              || zoneCut.drops(owner.zone, worker.zone, nowMs)) {
            after(CALL_TIMEOUT_MS, () -> owner.receive(lost(owner, command)));
            return;
          }
          Runnable reply =
              worker.execute(owner.term, owner.dispatcher, command, sentMs, owner::time);
          if (!faulty) {
            after(
                1 + random.nextInt(30) + replyDelayMs(command),
                () ->
                    owner.receive(
                        zoneCut.drops(worker.zone, owner.zone, nowMs)
                            ? lost(owner, command)
                            : reply));
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
      return () -> dispatcher.startAnswered(start, CommandReply.UNKNOWN, owner.time());
    } else if (command instanceof DispatchCommand.Stop stop) {
      return () -> dispatcher.stopAnswered(stop, CommandReply.UNKNOWN, owner.time());
    }
    return () ->
        dispatcher.pollAnswered(
            command.worker(), new PollReply.Unavailable("no answer"), owner.time(), owner.time());
  }
}
