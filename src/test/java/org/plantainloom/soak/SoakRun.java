package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
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

  private static final long START_TIMEOUT_MS = 20_000;

  private final Random random;
  private final InvariantChecker checker = new InvariantChecker();
  private final List<FaultProxy> workerProxies = new ArrayList<>();
  private final SimulatedPlatform platform;
  private final List<SoakNode> nodes = new ArrayList<>();
  private final FaultSchedule faults = new FaultSchedule();
  private final Path directory;
  private int configVersion = 1;

  private SoakRun(long seed, Path directory) throws Exception {
    this.random = new Random(seed);
    this.directory = directory;
    this.platform = SimulatedPlatform.start(WORKERS, TASK_MS, checker, this::startWorkerProxy);
    platform.configure(configVersion);
    int storePort = port(platform.storeAddress());
    for (int i = 0; i < NODES; i++) {
      SoakNode node = new SoakNode("node-" + i, directory, storePort);
      nodes.add(node);
      node.start();
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
      faults.healExpired();
      if (nowMs() >= nextFault) {
        startRandomFault();
        nextFault = nowMs() + random.nextInt(MAX_FAULT_PAUSE_MS);
      }
      restartExitedNodes();
      Thread.sleep(CALLER_PAUSE_MS);
    }
    faults.healAll();
    callers.awaitSettled(WORKERS);
    List<String> violations = new ArrayList<>(checker.violations());
    // Stricter than the rule: nothing is excused.
    new CancellationRule(callers.jobs(), new FaultTimeline(), term -> OptionalInt.empty())
        .lateStarts(checker.history().entries())
        .forEach(violation -> violations.add(violation.toString()));
    if (!violations.isEmpty()) {
      Files.write(directory.resolve("faults.log"), faults.log());
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

  /** Starts a fault, unless the same one is active. */
  private void startFault(String name, FaultSchedule.Action start, FaultSchedule.Action heal)
      throws Exception {
    if (!faults.isActive(name)) {
      faults.start(
          name, FaultScope.ofOthers(), MIN_FAULT_MS + random.nextInt(FAULT_SPREAD_MS), start, heal);
    }
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
      faults.record("crashed worker " + worker);
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
