package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.plantainloom.platform.standin.SimulatedPlatform;

/**
 * One run of the soak test: nodes, the simulated platform, callers, and overlapping random faults
 * derived from a seed. At the end all faults are healed, and each accepted job must reach its
 * expected state.
 */
final class SoakRun implements AutoCloseable {
  private static final int NODES = 3;
  private static final int WORKERS = 5;
  private static final long TASK_MS = 300;
  private static final long CALLER_PAUSE_MS = 60;

  /**
   * Range of the random part of a fault's duration; a little longer than the longest lease, so that
   * leases expire during some faults.
   */
  private static final int FAULT_SPREAD_MS = 7_000;

  private static final long MIN_FAULT_MS = 200;
  private static final int MAX_FAULT_PAUSE_MS = 2_000;

  /** Limit of the wait for accepted jobs: expiry of leases, a takeover and the backlog together. */
  private static final long SETTLE_TIMEOUT_MS = 60_000;

  private static final long SETTLE_POLL_MS = 250;
  private static final long START_TIMEOUT_MS = 20_000;

  private final Random random;
  private final InvariantChecker checker = new InvariantChecker();
  private final List<FaultProxy> workerProxies = new ArrayList<>();
  private final SimulatedPlatform platform;
  private final List<SoakNode> nodes = new ArrayList<>();
  private final List<Fault> activeFaults = new ArrayList<>();
  private final List<String> faultLog = new ArrayList<>();
  private final Path directory;
  private int configVersion = 1;

  private record Fault(String name, long endMs, FaultAction heal) {}

  /** Starts or heals a fault. */
  @FunctionalInterface
  private interface FaultAction {
    void run() throws Exception;
  }

  private SoakRun(long seed, Path directory) throws Exception {
    this.random = new Random(seed);
    this.directory = directory;
    this.platform = SimulatedPlatform.start(WORKERS, TASK_MS, checker, this::startWorkerProxy);
    platform.configure(configVersion);
    int storePort = port(platform.storeAddress());
    for (int i = 0; i < NODES; i++) {
      nodes.add(new SoakNode("node-" + i, directory, storePort));
    }
  }

  /** Starts the processes of a run. */
  static SoakRun start(long seed) throws Exception {
    Path logs = Path.of(System.getProperty("plantainloom.soak.logs", "target/soak"));
    Path directory = logs.resolve("seed-" + seed);
    Files.createDirectories(directory);
    return new SoakRun(seed, directory);
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  private String startWorkerProxy(String workerAddress) {
    try {
      FaultProxy proxy = FaultProxy.start(port(workerAddress));
      workerProxies.add(proxy);
      return proxy.address();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Injects faults for a time, heals them, waits for the jobs, and returns the violations. */
  List<String> execute(long faultsMs) throws Exception {
    SoakCallers callers = new SoakCallers(nodes, checker, random);
    awaitFirstJob(callers);
    long end = nowMs() + faultsMs;
    long nextFault = nowMs();
    while (nowMs() < end) {
      callers.step();
      healExpiredFaults(nowMs());
      if (nowMs() >= nextFault) {
        startRandomFault();
        nextFault = nowMs() + random.nextInt(MAX_FAULT_PAUSE_MS);
      }
      restartExitedNodes();
      Thread.sleep(CALLER_PAUSE_MS);
    }
    healExpiredFaults(Long.MAX_VALUE);
    settle(callers);
    List<String> violations = new ArrayList<>(checker.violations());
    if (!violations.isEmpty()) {
      Files.write(directory.resolve("faults.log"), faultLog);
      Files.write(directory.resolve("broken.log"), violations);
    }
    return violations;
  }

  int starts() {
    return checker.starts();
  }

  private void awaitFirstJob(SoakCallers callers) throws InterruptedException {
    long end = nowMs() + START_TIMEOUT_MS;
    while (callers.jobs().stream().noneMatch(job -> job.accepted) && nowMs() < end) {
      callers.step();
      Thread.sleep(CALLER_PAUSE_MS);
    }
  }

  private void restartExitedNodes() throws IOException {
    for (SoakNode node : nodes) {
      if (node.exitedUnexpectedly()) {
        checker.report(node.name + " exited unexpectedly");
        node.start();
      }
    }
  }

  private void healExpiredFaults(long now) throws Exception {
    for (Fault fault : List.copyOf(activeFaults)) {
      if (fault.endMs() <= now) {
        activeFaults.remove(fault);
        faultLog.add(nowMs() + " healed " + fault.name());
        fault.heal().run();
      }
    }
  }

  /** Starts a fault, unless the same one is active. */
  private void startFault(String name, FaultAction start, FaultAction heal) throws Exception {
    if (activeFaults.stream().anyMatch(fault -> fault.name().equals(name))) {
      return;
    }
    long durationMs = MIN_FAULT_MS + random.nextInt(FAULT_SPREAD_MS);
    faultLog.add(nowMs() + " started " + name + " for " + durationMs + " ms");
    activeFaults.add(new Fault(name, nowMs() + durationMs, heal));
    start.run();
  }

  private void startRandomFault() throws Exception {
    int kind = random.nextInt(15);
    SoakNode node = nodes.get(random.nextInt(NODES));
    int worker = random.nextInt(WORKERS);
    FaultProxy proxy = random.nextBoolean() ? node.storeProxy : workerProxies.get(worker);
    String proxyName = proxy == node.storeProxy ? "store of " + node.name : "worker " + worker;
    switch (kind) {
      case 0, 1 -> startFault("process " + node.name, node::kill, node::start);
      case 2 -> startFault("process " + node.name, node::stop, node::start);
      case 3, 4 ->
          startFault("process " + node.name, () -> node.suspend(true), () -> node.suspend(false));
      case 5 -> killAll();
      case 6 -> proxy.resetConnections();
      case 7 -> proxy.blackholeConnections();
      case 8 -> degrade(proxy, proxyName, FaultProxy.Mode.DROP_ALL);
      case 9 -> degrade(proxy, proxyName, FaultProxy.Mode.DROP_RESPONSES);
      case 10 -> degrade(proxy, proxyName, FaultProxy.Mode.DELAY);
      case 11 ->
          startFault(
              "store down", () -> platform.setStoreDown(true), () -> platform.setStoreDown(false));
      case 12 ->
          startFault(
              "store slow", () -> platform.setStoreDelay(300), () -> platform.setStoreDelay(0));
      case 13 -> workerFault(worker);
      default -> platformFault();
    }
  }

  private void degrade(FaultProxy proxy, String name, FaultProxy.Mode mode) throws Exception {
    startFault(
        name, () -> proxy.setMode(mode, 100), () -> proxy.setMode(FaultProxy.Mode.FORWARD, 0));
  }

  private void killAll() throws Exception {
    for (SoakNode node : nodes) {
      startFault("process " + node.name, node::kill, node::start);
    }
  }

  private void workerFault(int worker) throws Exception {
    if (random.nextBoolean()) {
      faultLog.add(nowMs() + " crashed worker " + worker);
      platform.crashWorker(worker);
    } else {
      startFault(
          "failing worker " + worker,
          () -> platform.setWorkerFailing(worker, true),
          () -> platform.setWorkerFailing(worker, false));
    }
  }

  private void platformFault() throws Exception {
    switch (random.nextInt(4)) {
      case 0 -> platform.configure(++configVersion);
      case 1 -> platform.dropHistory();
      case 2 -> platform.dropResponses(2);
      default -> {
        String zone = "zone-" + (1 + random.nextInt(2));
        startFault(
            "withdrawn " + zone,
            () -> platform.setZoneWithdrawn(zone, true),
            () -> platform.setZoneWithdrawn(zone, false));
      }
    }
  }

  /** Waits until each job is settled, and reports a violation for those that are not in time. */
  private void settle(SoakCallers callers) throws InterruptedException {
    List<SoakJob> unsettled = new ArrayList<>(callers.jobs());
    long end = nowMs() + SETTLE_TIMEOUT_MS;
    while (!unsettled.isEmpty() && nowMs() < end) {
      unsettled.removeIf(job -> isSettled(job, callers));
      Thread.sleep(SETTLE_POLL_MS);
    }
    for (SoakJob job : unsettled) {
      checker.report(
          "not settled: "
              + job.id()
              + " accepted="
              + job.accepted
              + " cancelled="
              + (job.cancelAcknowledgedMs != 0)
              + " longRunning="
              + job.longRunning()
              + " running="
              + checker.runningTasks(job.id())
              + " state="
              + callers.state(job));
    }
  }

  private boolean isSettled(SoakJob job, SoakCallers callers) {
    if (job.inFlight) {
      return false;
    }
    if (!job.accepted) {
      return true; // rejected or unanswered, so nothing is expected of it
    }
    String state = callers.state(job);
    long running = checker.runningTasks(job.id());
    if (job.cancelRequested) {
      boolean ended = state.contains("cancelled") || state.contains("completed");
      return (ended || state.contains("failed")) ? running == 0 : job.cancelAcknowledgedMs == 0;
    }
    if (job.longRunning()) {
      return state.contains("active") && running == job.width();
    }
    // A job may fail, as a failing worker may use up the attempts of a task.
    return (state.contains("completed") || state.contains("failed")) && running == 0;
  }

  @Override
  public void close() throws IOException {
    for (SoakNode node : nodes) {
      node.close();
    }
    for (FaultProxy proxy : workerProxies) {
      proxy.close();
    }
    platform.close();
  }
}
