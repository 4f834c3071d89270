package org.plantainloom.soak;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Carries out planned work, and takes away nodes and workers that come back at another address or
 * never.
 */
final class LossInjector {
  private static final Range PLANNED_STOP_MS = new Range(6_000, 8_000);
  private static final Range DOWN_MS = new Range(200, 4_000);
  private static final int MIN_NODES = 2;

  /** Part of the nodes that runs while others are stopped in turn. */
  private static final double RUNNING_SHARE = 0.6;

  private static final int MAX_LOST_WORKERS = 2;

  private final SoakNetwork network;
  private final InvariantChecker checker;
  private final FaultSchedule schedule;
  private final FaultInjector faults;
  private final Random random;
  private final PlannedWork work = new PlannedWork();
  private final Set<Integer> goneNodes = new HashSet<>();
  private final Set<Integer> lostWorkers = new HashSet<>();
  private final Map<Integer, Long> startedMs = new HashMap<>();
  private final int initialNodes;

  LossInjector(
      SoakNetwork network, InvariantChecker checker, FaultSchedule schedule, Random random) {
    this.network = network;
    this.checker = checker;
    this.schedule = schedule;
    this.faults = new FaultInjector(network, checker, schedule, random);
    this.random = random;
    this.initialNodes = network.nodes().size();
  }

  /** Returns the injector of faults that all end. */
  FaultInjector faults() {
    return faults;
  }

  Random random() {
    return random;
  }

  PlannedWork work() {
    return work;
  }

  /** Returns the owner half of the time, otherwise any node that is not gone. */
  int drawNode(int owner) {
    List<Integer> present = present();
    return random.nextBoolean() && present.contains(owner)
        ? owner
        : present.get(random.nextInt(present.size()));
  }

  boolean isGone(int node) {
    return goneNodes.contains(node);
  }

  /** Returns a worker that is not lost. */
  int drawWorker() {
    List<Integer> present =
        IntStream.range(0, network.workers())
            .filter(i -> !lostWorkers.contains(i))
            .boxed()
            .toList();
    return present.get(random.nextInt(present.size()));
  }

  private List<Integer> present() {
    return IntStream.range(0, network.nodes().size())
        .filter(node -> !goneNodes.contains(node))
        .boxed()
        .toList();
  }

  /** Stops one of the nodes, unless too few run. */
  void terminateInTurn(int node, boolean elsewhere) throws Exception {
    long running = present().stream().filter(this::isRunning).count();
    if (isRunning(node) && running > Math.ceil(present().size() * RUNNING_SHARE)) {
      terminate(node, elsewhere);
    }
  }

  private boolean isRunning(int node) {
    return !schedule.isActive(processFault(node))
        && startedMs.getOrDefault(node, 0L) + FaultTimeline.CONTACT_MS <= SoakRun.nowMs();
  }

  /** Sends SIGTERM, and starts the node again, at the same address or at another one. */
  void terminate(int node, boolean elsewhere) throws Exception {
    SoakNode process = network.nodes().get(node);
    String name = processFault(node);
    if (!schedule.isActive(name)) {
      long stopMs = SoakRun.nowMs();
      schedule.start(
          name,
          FaultScope.ofPlannedStop(node),
          PLANNED_STOP_MS.draw(random),
          () -> {
            schedule.record("SIGTERM to node-" + node);
            process.requestStop();
            work.terminated(node, stopMs);
          },
          () -> {
            long graceMs = Math.max(0, stopMs + PlannedWork.GRACE_MS - SoakRun.nowMs());
            if (!process.awaitExit(graceMs)) {
              schedule.record("node-" + node + " did not exit in time");
              process.kill();
            }
            startAgain(node, elsewhere);
          });
    }
  }

  /** Kills a node, which starts again at the same address or at another one. */
  void kill(int node, boolean elsewhere) throws Exception {
    String name = processFault(node);
    if (!schedule.isActive(name)) {
      schedule.start(
          name,
          FaultScope.ofNode(node),
          DOWN_MS.draw(random),
          () -> {
            schedule.record("killed node-" + node);
            network.nodes().get(node).kill();
          },
          () -> startAgain(node, elsewhere));
    }
  }

  /** Kills all nodes at once; one of them starts again at another address, others may. */
  void killAll(int elsewhere) throws Exception {
    for (int node : present()) {
      kill(node, node == elsewhere || random.nextInt(3) == 0);
    }
  }

  /** Suspends a node. */
  void suspend(int node, Range durationMs) throws Exception {
    if (!schedule.isActive(processFault(node))) {
      faults.suspend(node, durationMs);
    }
  }

  private static String processFault(int node) {
    // As FaultInjector names it, so that a process has one fault at a time.
    return "process node-" + node;
  }

  private void startAgain(int node, boolean elsewhere) throws Exception {
    if (elsewhere) {
      int added = network.nodes().size();
      goneNodes.add(node);
      schedule.strike(
          "node-" + added + " in place of node-" + node,
          FaultScope.ofPlannedStop(added),
          network::addNode);
      startedMs.put(added, SoakRun.nowMs());
    } else {
      network.nodes().get(node).start();
      startedMs.put(node, SoakRun.nowMs());
    }
  }

  /** Takes a node away for good, unless too few would be left. */
  void loseNode(int node) throws Exception {
    if (present().size() > Math.max(MIN_NODES, initialNodes - 1)
        && !schedule.isActive(processFault(node))) {
      schedule.strike(
          "lost node-" + node + " for good",
          FaultScope.ofNode(node),
          () -> {
            goneNodes.add(node);
            network.silenceControl(node);
            network.nodes().get(node).kill();
          });
    }
  }

  /** Takes a worker away for good, unless many are gone already. */
  void loseWorker(int worker) throws Exception {
    if (lostWorkers.size() < MAX_LOST_WORKERS) {
      removeWorker(worker);
    }
  }

  /** Takes the worker away for good on which a task runs for the longest, as lasting ones do. */
  void loseBusyWorker() throws Exception {
    int worker =
        checker.history().entries().stream()
            .filter(run -> run.endMs().isEmpty())
            .min(Comparator.comparingLong(RunHistory.Entry::startMs))
            .map(run -> SoakNetwork.workerNumber(run.run().worker()))
            .orElseGet(this::drawWorker);
    removeWorker(worker);
  }

  private void removeWorker(int worker) throws Exception {
    if (!schedule.isActive("worker " + worker)) {
      schedule.strike(
          "lost worker " + worker + " for good",
          FaultScope.ofOthers(),
          () -> {
            lostWorkers.add(worker);
            network.platform().shutDownWorker(worker);
            checker.history().workerLost(SoakNetwork.workerId(worker));
          });
    }
  }

  /** Lets all tasks that end on a worker fail. */
  void failTasks(int worker, Range durationMs) throws Exception {
    String name = "tasks fail at worker " + worker;
    if (!schedule.isActive(name)) {
      schedule.start(
          name,
          FaultScope.ofOthers(),
          durationMs.draw(random),
          () -> network.platform().setWorkerFailing(worker, true),
          () -> network.platform().setWorkerFailing(worker, false));
    }
  }

  /** Sends SIGHUP to a node that is in touch. */
  void hangUp(int node) throws Exception {
    if (isRunning(node) && network.nodes().get(node).isListening()) {
      schedule.record("SIGHUP to node-" + node);
      work.hungUp(node, SoakRun.nowMs());
      network.nodes().get(node).hangUp();
    }
  }

  /** Writes a new configuration. */
  void configure() {
    long sentMs = SoakRun.nowMs();
    faults.configure();
    work.configured(sentMs, SoakRun.nowMs());
  }
}
