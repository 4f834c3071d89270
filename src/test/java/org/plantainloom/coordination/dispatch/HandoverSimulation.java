package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;

/**
 * Owners that follow each other, workers that check fencing tokens, and a network that delays
 * messages, loses answers, carries out orders late and is cut. The clock of each process runs at a
 * rate of its own. One schedule per seed, in virtual time.
 */
final class HandoverSimulation {
  static final long MAX_LEASE_MS = 6_000;
  static final long STOP_GRACE_MS = 400;
  private static final int WORKERS = 4;
  private static final int JOBS = 6;
  private static final int SHORTEST_RUN_MS = 300;
  private static final long STEP_MS = 25;
  private static final int ZONES = 2;
  private static final int STANDBYS = 6;

  /** How long a worker that only new owners cannot reach stays out of their reach. */
  private static final long CUT_MS = 16_000;

  /** Nothing that is under way takes longer than this, unless a cut holds it. */
  private static final long SETTLING_MS = 17_000;

  private final HandoverScenario scenario;
  private final Consumer<String> trace;
  private final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<HandoverWorker> workers = new ArrayList<>();
  private final List<HandoverOwner> owners = new ArrayList<>();
  private final List<HandoverStandby> standbys = new ArrayList<>();
  private final HandoverNetwork network = new HandoverNetwork(this);
  private final RunLedger ledger = new RunLedger(this::nowMs);
  private final HandoverStore store;
  private final HandoverFaults faults;
  private long nowMs = 1_000_000;
  private final long startMs = nowMs;
  private long sequence;

  private record Event(long timeMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return timeMs != other.timeMs
          ? Long.compare(timeMs, other.timeMs)
          : Long.compare(order, other.order);
    }
  }

  HandoverSimulation(long seed, HandoverScenario scenario) {
    this(seed, scenario, line -> {});
  }

  /**
   * Creates a schedule.
   *
   * @param trace receives the decisions of the owners
   */
  HandoverSimulation(long seed, HandoverScenario scenario, Consumer<String> trace) {
    this.scenario = scenario;
    this.trace = trace;
    this.random = new Random(seed);
    this.store = new HandoverStore(this, random);
    this.faults = new HandoverFaults(this, random);
    for (int i = 0; i < WORKERS; i++) {
      double rate = drawClockRate();
      workers.add(
          new HandoverWorker(
              "w" + i,
              i % 2,
              () -> localTime(rate),
              this::drawRunTimeMs,
              scenario.listLimit(),
              ledger));
    }
  }

  HandoverScenario scenario() {
    return scenario;
  }

  HandoverStore store() {
    return store;
  }

  HandoverNetwork network() {
    return network;
  }

  List<HandoverWorker> workers() {
    return workers;
  }

  HandoverWorker worker(String id) {
    return workers.stream().filter(worker -> worker.id().equals(id)).findFirst().orElseThrow();
  }

  HandoverOwner currentOwner() {
    return owners.get(owners.size() - 1);
  }

  long nowMs() {
    return nowMs;
  }

  long localTime(double rate) {
    return startMs + (long) ((nowMs - startMs) * rate);
  }

  /** Returns whether messages may still be lost or late without a cut. */
  boolean isFaulty() {
    return nowMs < startMs + HandoverFaults.END_MS;
  }

  int drawInt(int bound) {
    return random.nextInt(bound);
  }

  double drawClockRate() {
    return scenario.clockRates()[random.nextInt(scenario.clockRates().length)];
  }

  private int drawRunTimeMs() {
    return SHORTEST_RUN_MS + random.nextInt(scenario.longestRunMs() - SHORTEST_RUN_MS);
  }

  void trace(String line) {
    trace.accept((nowMs - startMs) + " " + line);
  }

  void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, sequence++, action));
  }

  /** Runs the schedule and returns what was broken. */
  List<String> run() {
    for (int i = 0; i < STANDBYS; i++) {
      standbys.add(new HandoverStandby(this, i % ZONES));
    }
    owners.add(new HandoverOwner(this, 1, takeStandby(random.nextInt(ZONES))));
    for (int i = 0; i < JOBS; i++) {
      after(random.nextInt(8_000), this::submit);
    }
    faults.scheduleUsualFaults();
    scenario.schedule(faults);
    while (nowMs < startMs + scenario.endMs() && !isSettled()) {
      nowMs += STEP_MS;
      while (!events.isEmpty() && events.peek().timeMs() <= nowMs) {
        events.poll().action().run();
      }
      workers.forEach(HandoverWorker::advance);
      owners.forEach(HandoverOwner::tick);
      standbys.forEach(HandoverStandby::tick);
      ledger.checkOverlaps(workers);
    }
    for (JobSpec job : store.jobs()) {
      JobStatus status = store.progress(job.id()).status();
      if (status != JobStatus.COMPLETED) {
        ledger.add(job.id() + " is " + status + " at the end");
      }
    }
    return ledger.violations();
  }

  private boolean isSettled() {
    return nowMs >= startMs + HandoverFaults.END_MS + SETTLING_MS
        && store.jobs().stream()
            .allMatch(job -> store.progress(job.id()).status() == JobStatus.COMPLETED)
        && workers.stream().allMatch(worker -> worker.runningTasks().isEmpty());
  }

  void submit() {
    store.submit(
        DispatcherSimulation.job(
            "job-" + store.jobs().size(),
            "urgent",
            DispatcherSimulation.tasks(3, 1_000),
            DispatcherSimulation.tasks(2, 1_000, 0)));
  }

  /** Passes a change in the store to the owner; one that is cut off learns it with the next. */
  boolean tellOwner(Consumer<HandoverOwner> change) {
    HandoverOwner owner = currentOwner();
    if (owner.reachesStore()) {
      change.accept(owner);
      return true;
    }
    return false;
  }

  boolean tellRegistration(HandoverWorker worker) {
    return tellOwner(
        owner -> owner.dispatcher().workerRegistered(worker.registration(), owner.time()));
  }

  boolean reachesStore(int zone) {
    return network.reachesStore(zone) && store.isUp();
  }

  /** Returns a process of a zone, which another one replaces. */
  private HandoverStandby takeStandby(int zone) {
    HandoverStandby standby =
        standbys.stream().filter(other -> other.zone() == zone).findFirst().orElseThrow();
    standbys.remove(standby);
    standbys.add(new HandoverStandby(this, zone));
    return standby;
  }

  /** Makes another process the owner, once the store is up. */
  void replaceOwner() {
    if (!store.isUp()) {
      after(100, this::replaceOwner);
      return;
    }
    int zone = network.isZoneCut() ? ZoneCut.STORE_ZONE : random.nextInt(ZONES);
    HandoverOwner successor = new HandoverOwner(this, owners.size() + 1, takeStandby(zone));
    trace("owner-" + successor.term() + " owns the workers");
    List<HandoverOwner> predecessors = List.copyOf(owners);
    owners.add(successor);
    if (scenario.partsSuccessors() && random.nextInt(3) == 0) {
      HandoverWorker worker = workers.get(random.nextInt(WORKERS));
      int term = successor.term();
      network.add(
          new WorkerCut(other -> other >= term, Set.of(worker), true, true, nowMs + CUT_MS, false));
    }
    if (random.nextBoolean()) {
      after(random.nextInt(3_000), () -> stopPredecessors(successor, predecessors));
    }
  }

  /** The new owner asks until each of the owners before it has stopped; a paused one cannot. */
  private void stopPredecessors(HandoverOwner successor, List<HandoverOwner> predecessors) {
    for (HandoverOwner predecessor : predecessors) {
      if (predecessor.isPaused()
          || network.isCut(successor.zone(), predecessor.zone())
          || network.isCut(predecessor.zone(), successor.zone())) {
        after(200, () -> stopPredecessors(successor, predecessors));
        return;
      }
      predecessor.stop();
    }
    successor.dispatcher().previousOwnersStopped(successor.time());
  }
}
