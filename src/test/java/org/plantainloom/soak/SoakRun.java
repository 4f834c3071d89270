package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.plantainloom.platform.standin.SimulatedPlatform;

/**
 * One run of the soak: some nodes, a platform, callers, and faults drawn from a seed that come in
 * series and overlap; then all is healed and what was accepted has to come to its end.
 */
final class SoakRun implements AutoCloseable {
  private static final int NODES = 3;
  private static final int WORKERS = 5;
  private static final long TASK_MS = 300;
  private static final long CALLER_PAUSE_MS = 60;

  /** Longest fault; a little longer than the longest lease, so that leases lapse within some. */
  private static final int LONGEST_FAULT_MS = 7_000;

  private static final long SHORTEST_FAULT_MS = 200;
  private static final int LONGEST_PAUSE_MS = 2_000;

  /** Bound of the wait for what was accepted; leases, takeover and a backlog together. */
  private static final long SETTLE_MS = 60_000;

  private static final long SETTLE_POLL_MS = 250;
  private static final long START_MS = 20_000;

  private final Random random;
  private final InvariantChecker checker = new InvariantChecker();
  private final List<FaultProxy> workerProxies = new ArrayList<>();
  private final SimulatedPlatform platform;
  private final List<SoakNode> nodes = new ArrayList<>();
  private final List<Fault> active = new ArrayList<>();
  private final List<String> history = new ArrayList<>();
  private final Path directory;
  private int configVersion = 1;

  private record Fault(String name, long endMs, Heal heal) {}

  /** Ends a fault. */
  @FunctionalInterface
  private interface Heal {
    void run() throws Exception;
  }

  private SoakRun(long seed, Path directory) throws Exception {
    this.random = new Random(seed);
    this.directory = directory;
    this.platform = SimulatedPlatform.start(WORKERS, TASK_MS, checker, this::publish);
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

  private String publish(String workerAddress) {
    try {
      FaultProxy proxy = FaultProxy.start(port(workerAddress));
      workerProxies.add(proxy);
      return proxy.address();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Plays faults for a time, heals them, waits for the ends, and returns what was broken. */
  List<String> play(long faultsMs) throws Exception {
    SoakCallers callers = new SoakCallers(nodes, checker, random);
    awaitFirstJob(callers);
    long end = nowMs() + faultsMs;
    long nextFault = nowMs();
    while (nowMs() < end) {
      callers.step();
      healDue(nowMs());
      if (nowMs() >= nextFault) {
        inject();
        nextFault = nowMs() + random.nextInt(LONGEST_PAUSE_MS);
      }
      noticeEnds();
      Thread.sleep(CALLER_PAUSE_MS);
    }
    healDue(Long.MAX_VALUE);
    settle(callers);
    List<String> broken = new ArrayList<>(checker.broken());
    if (!broken.isEmpty()) {
      Files.write(directory.resolve("faults.log"), history);
      Files.write(directory.resolve("broken.log"), broken);
    }
    return broken;
  }

  int starts() {
    return checker.starts();
  }

  private void awaitFirstJob(SoakCallers callers) throws InterruptedException {
    long end = nowMs() + START_MS;
    while (callers.jobs().stream().noneMatch(job -> job.accepted) && nowMs() < end) {
      callers.step();
      Thread.sleep(CALLER_PAUSE_MS);
    }
  }

  private void noticeEnds() throws IOException {
    for (SoakNode node : nodes) {
      if (node.endedByItself()) {
        checker.report(node.name + " ended by itself");
        node.start();
      }
    }
  }

  private void healDue(long now) throws Exception {
    for (Fault fault : List.copyOf(active)) {
      if (fault.endMs() <= now) {
        active.remove(fault);
        history.add(nowMs() + " healed " + fault.name());
        fault.heal().run();
      }
    }
  }

  /** Begins a fault unless the same one is active. */
  private void begin(String name, Heal start, Heal heal) throws Exception {
    if (active.stream().anyMatch(fault -> fault.name().equals(name))) {
      return;
    }
    long lastsMs = SHORTEST_FAULT_MS + random.nextInt(LONGEST_FAULT_MS);
    history.add(nowMs() + " began " + name + " for " + lastsMs + " ms");
    active.add(new Fault(name, nowMs() + lastsMs, heal));
    start.run();
  }

  private void inject() throws Exception {
    int kind = random.nextInt(15);
    SoakNode node = nodes.get(random.nextInt(NODES));
    int worker = random.nextInt(WORKERS);
    FaultProxy wire = random.nextBoolean() ? node.store : workerProxies.get(worker);
    String wireName = wire == node.store ? "store of " + node.name : "worker " + worker;
    switch (kind) {
      case 0, 1 -> begin("process " + node.name, node::kill, node::start);
      case 2 -> begin("process " + node.name, node::stop, node::start);
      case 3, 4 ->
          begin("process " + node.name, () -> node.suspend(true), () -> node.suspend(false));
      case 5 -> killAll();
      case 6 -> wire.resetAll();
      case 7 -> wire.silenceAll();
      case 8 -> harm(wire, wireName, FaultProxy.Mode.CUT);
      case 9 -> harm(wire, wireName, FaultProxy.Mode.ANSWERS_LOST);
      case 10 -> harm(wire, wireName, FaultProxy.Mode.DELAY);
      case 11 ->
          begin(
              "store down", () -> platform.setStoreDown(true), () -> platform.setStoreDown(false));
      case 12 ->
          begin("store slow", () -> platform.setStoreDelay(300), () -> platform.setStoreDelay(0));
      case 13 -> workerFault(worker);
      default -> intent();
    }
  }

  private void harm(FaultProxy wire, String name, FaultProxy.Mode mode) throws Exception {
    begin(name, () -> wire.mode(mode, 100), () -> wire.mode(FaultProxy.Mode.PASS, 0));
  }

  private void killAll() throws Exception {
    for (SoakNode node : nodes) {
      begin("process " + node.name, node::kill, node::start);
    }
  }

  private void workerFault(int worker) throws Exception {
    if (random.nextBoolean()) {
      history.add(nowMs() + " crashed worker " + worker);
      platform.crashWorker(worker);
    } else {
      begin(
          "failing worker " + worker,
          () -> platform.setWorkerFailing(worker, true),
          () -> platform.setWorkerFailing(worker, false));
    }
  }

  private void intent() throws Exception {
    switch (random.nextInt(4)) {
      case 0 -> platform.configure(++configVersion);
      case 1 -> platform.dropHistory();
      case 2 -> platform.dropResponses(2);
      default -> {
        String zone = "zone-" + (1 + random.nextInt(2));
        begin(
            "withdrawn " + zone,
            () -> platform.setZoneWithdrawn(zone, true),
            () -> platform.setZoneWithdrawn(zone, false));
      }
    }
  }

  /** Waits until each accepted job is where it has to be, and reports those that are not. */
  private void settle(SoakCallers callers) throws InterruptedException {
    List<SoakJob> left = new ArrayList<>(callers.jobs());
    long end = nowMs() + SETTLE_MS;
    while (!left.isEmpty() && nowMs() < end) {
      left.removeIf(job -> isSettled(job, callers));
      Thread.sleep(SETTLE_POLL_MS);
    }
    for (SoakJob job : left) {
      checker.report(
          "not settled: "
              + job.id()
              + " accepted="
              + job.accepted
              + " cancelled="
              + (job.cancelledMs != 0)
              + " lasting="
              + job.lasting()
              + " running="
              + checker.runningOf(job.id())
              + " state="
              + callers.state(job));
    }
  }

  private boolean isSettled(SoakJob job, SoakCallers callers) {
    if (job.inFlight) {
      return false;
    }
    if (!job.accepted) {
      return true; // Refused, or its fate was never told: nothing was promised.
    }
    String state = callers.state(job);
    long running = checker.runningOf(job.id());
    if (job.cancelTried) {
      boolean over = state.contains("cancelled") || state.contains("completed");
      return (over || state.contains("failed")) ? running == 0 : job.cancelledMs == 0;
    }
    if (job.lasting()) {
      return state.contains("active") && running == job.width();
    }
    // A failing worker may spend the attempts of a task.
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
