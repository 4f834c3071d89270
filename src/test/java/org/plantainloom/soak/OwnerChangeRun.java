package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.plantainloom.platform.standin.WorkerLayout;

/**
 * Plays a scripted change of owner with real nodes, beside empty workers, and judges how long
 * lasting tasks are away. Machines that lose power end no connection.
 */
final class OwnerChangeRun implements AutoCloseable {
  private static final WorkerLayout LAYOUT = new WorkerLayout(12, 3, 300, true);
  private static final int JOBS = 2;
  private static final int WIDTH = 4;
  private static final int CPU_MILLIS = 3_000;

  private static final long START_TIMEOUT_MS = 30_000;
  private static final long STEADY_MS = 3_000;
  private static final long POLL_MS = 5;

  /** Time that nodes need to start in addition, as on a small share of a core. */
  private static final long NODE_START_MS = Long.getLong("plantainloom.soak.node-start-ms", 0);

  /**
   * Whether workers that are lost for good go on without a path to anyone, so that their tasks run
   * until the lease has expired by their clocks.
   */
  private static final boolean LOST_WORKERS_GO_ON =
      Boolean.getBoolean("plantainloom.soak.lost-workers-go-on");

  /** From the last disturbance on, the rule has found any task that is away for too long. */
  private static final long JUDGED_MS =
      LastingTaskRule.DUE_MS + LastingTaskRule.CALM_BEFORE_MS + 2 * LastingTaskRule.BOUND_MS;

  private final OwnerChange change;
  private final Path directory;
  private final InvariantChecker checker = new InvariantChecker();
  private final FaultSchedule faults = new FaultSchedule();
  private final SoakNetwork network;
  private final StallProbe stallProbe;
  private final SoakCallers callers;

  /** When the disturbances began that last. */
  private final Map<String, Long> disturbedSinceMs = new HashMap<>();

  private final List<CompletableFuture<Void>> starts = new ArrayList<>();
  private long lastDisturbanceMs;

  private OwnerChangeRun(OwnerChange change, Path directory) throws Exception {
    this.change = change;
    this.directory = directory;
    this.network = SoakNetwork.start(directory, change.nodes(), LAYOUT, checker);
    this.stallProbe = StallProbe.start(network.platform().storeAddress());
    this.callers = new SoakCallers(network.nodes(), checker, new Random());
  }

  /** Starts the processes of a run. */
  static OwnerChangeRun start(OwnerChange change) throws Exception {
    Path logs = Path.of(System.getProperty("plantainloom.soak.logs", "target/soak"));
    Files.createDirectories(logs);
    Path directory = Files.createTempDirectory(logs, change.label() + "-");
    return new OwnerChangeRun(change, directory);
  }

  /** How long each task was away that lost its run, and the violations. */
  record Result(
      OwnerChange change, List<String> awayMs, long calmMs, int stalls, List<String> violations) {
    @Override
    public String toString() {
      return "owner change "
          + change.label()
          + " away-ms="
          + awayMs
          + " in-calm-ms="
          + calmMs
          + " stalls="
          + stalls
          + " broken="
          + violations;
    }
  }

  /** Plays the change and judges it. */
  Result execute() throws Exception {
    submitLastingJobs();
    pause(STEADY_MS);
    change.play(this);
    for (CompletableFuture<Void> start : starts) {
      start.join();
    }
    long judgedUntilMs = lastDisturbanceMs + JUDGED_MS;
    awaitUntil(judgedUntilMs, this::allRun);
    judgedUntilMs = Math.min(judgedUntilMs, SoakRun.nowMs());
    stallProbe.stalls().forEach(faults::addStall);
    return judge(judgedUntilMs);
  }

  private Result judge(long judgedUntilMs) throws IOException {
    List<String> violations = new ArrayList<>(checker.violations());
    List<String> workers =
        IntStream.range(0, network.workers()).mapToObj(SoakNetwork::workerId).toList();
    new LastingTaskRule(workers, callers.jobs(), faults.timeline(), checker::owner)
        .violations(checker.history(), judgedUntilMs)
        .forEach(violation -> violations.add(violation.toString()));
    List<String> awayMs = new ArrayList<>();
    long calmMs = 0;
    for (List<RunHistory.Entry> runs : checker.history().byTask().values()) {
      for (int i = 0; i < runs.size(); i++) {
        RunHistory.Entry run = runs.get(i);
        if (run.lastMs() < judgedUntilMs) {
          long backMs = i + 1 < runs.size() ? runs.get(i + 1).startMs() : judgedUntilMs;
          awayMs.add(run.outcome() + ":" + (backMs - run.lastMs()));
          calmMs = Math.max(calmMs, backMs - lastDisturbanceMs);
        }
      }
    }
    Result result = new Result(change, awayMs, calmMs, stallProbe.stalls().size(), violations);
    faults.record(result.toString());
    Files.write(directory.resolve("faults.log"), faults.log());
    return result;
  }

  private void submitLastingJobs() throws Exception {
    long endMs = SoakRun.nowMs() + START_TIMEOUT_MS;
    for (int i = 0; i < JOBS; i++) {
      SoakJob job = submitLastingJob();
      while (!job.accepted && SoakRun.nowMs() < endMs) {
        pause(200);
        if (job.rejected) {
          job = submitLastingJob();
        } else {
          callers.repeatUnanswered();
          pause(500);
        }
      }
      require(job.accepted, "no node has accepted a job");
    }
    require(awaitUntil(endMs, this::allRun), "not all tasks run");
  }

  private SoakJob submitLastingJob() {
    SoakJob job = new SoakJob(callers.drawId(), 1, WIDTH, CPU_MILLIS, true, 0);
    callers.submitNew(job).join();
    return job;
  }

  private boolean allRun() {
    return runsByWorker().values().stream().mapToInt(Integer::intValue).sum() == JOBS * WIDTH;
  }

  /** Returns the number of active runs of each worker that is not lost. */
  private Map<Integer, Integer> runsByWorker() {
    RunHistory history = checker.history();
    return history.entries().stream()
        .filter(run -> run.endMs().isEmpty())
        .filter(run -> !history.isWorkerLost(run.run().worker(), SoakRun.nowMs()))
        .collect(
            Collectors.toMap(
                run -> SoakNetwork.workerNumber(run.run().worker()), run -> 1, Integer::sum));
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalStateException(message);
    }
  }

  private static boolean awaitUntil(long endMs, BooleanSupplier condition)
      throws InterruptedException {
    while (!condition.getAsBoolean()) {
      if (SoakRun.nowMs() > endMs) {
        return false;
      }
      Thread.sleep(POLL_MS);
    }
    return true;
  }

  void pause(long ms) throws InterruptedException {
    Thread.sleep(Math.max(0, ms));
  }

  /** Returns the node that the store names as the owner. */
  int owner() throws Exception {
    return awaitOwnerOtherThan(List.of());
  }

  /** Returns the next owner that is not one of some nodes. */
  int awaitOwnerOtherThan(Collection<Integer> nodes) throws Exception {
    long endMs = SoakRun.nowMs() + START_TIMEOUT_MS;
    while (SoakRun.nowMs() < endMs) {
      var owner = network.owner();
      if (owner.isPresent() && !nodes.contains(owner.getAsInt())) {
        faults.record("node-" + owner.getAsInt() + " is the owner");
        return owner.getAsInt();
      }
      Thread.sleep(POLL_MS);
    }
    throw new IllegalStateException("no owner other than " + nodes);
  }

  List<Integer> otherNodes(int node) {
    return IntStream.range(0, network.nodes().size()).filter(i -> i != node).boxed().toList();
  }

  /** Returns random ones of the workers that run lasting tasks, as their clocks differ. */
  List<Integer> busyWorkers(int count) {
    List<Integer> workers = new ArrayList<>(runsByWorker().keySet());
    require(workers.size() >= count, "too few workers run tasks");
    Collections.shuffle(workers);
    return workers.subList(0, count);
  }

  List<Integer> workersOtherThan(int worker) {
    return IntStream.range(0, network.workers()).filter(i -> i != worker).boxed().toList();
  }

  /** Takes the power from a node for good. */
  void losePower(int node) throws Exception {
    cutPower(node);
    endDisturbance("node-" + node);
  }

  /** Takes the power from a node until it is restored. */
  void cutPower(int node) throws Exception {
    beginDisturbance("node-" + node);
    network.setControlSilent(node, true);
    network.nodes().get(node).kill();
  }

  /** Starts a node again at its addresses. */
  void restore(int node) {
    network.setControlSilent(node, false);
    startNode(node);
  }

  /** Starts a node again at other addresses. */
  void restoreElsewhere(int node) throws IOException {
    network.relocate(node);
    startNode(node);
  }

  private void startNode(int node) {
    endDisturbance("node-" + node);
    starts.add(
        CompletableFuture.runAsync(
            () -> {
              try {
                network.nodes().get(node).start();
              } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
              }
            },
            CompletableFuture.delayedExecutor(NODE_START_MS, TimeUnit.MILLISECONDS)));
  }

  void suspend(int node) throws Exception {
    beginDisturbance("node-" + node);
    network.nodes().get(node).suspend(true);
  }

  void resume(int node) throws Exception {
    network.nodes().get(node).suspend(false);
    endDisturbance("node-" + node);
  }

  /** Takes workers away for good. */
  void loseWorkers(List<Integer> workers) {
    for (int worker : workers) {
      if (LOST_WORKERS_GO_ON) {
        beginDisturbance("worker " + worker);
        network.setWorkerSilent(worker, true);
        network.platform().setWorkerReachesStore(worker, false);
      } else {
        cutPowerOfWorker(worker);
      }
      checker.history().workerLost(SoakNetwork.workerId(worker));
      endDisturbance("worker " + worker);
    }
  }

  /** Takes the power from a worker until it is restored. */
  void cutPowerOfWorker(int worker) {
    beginDisturbance("worker " + worker);
    network.setWorkerSilent(worker, true);
    network.platform().shutDownWorker(worker);
  }

  /** Starts a worker again without its state. */
  void restoreWorker(int worker) {
    network.setWorkerSilent(worker, false);
    network.platform().bootWorker(worker);
    endDisturbance("worker " + worker);
  }

  /**
   * Lets only the owner reach a worker, takes the store from it until another node is the owner,
   * and returns the former owner, which still has no store.
   */
  int replaceOwnerWithoutStore(int worker) throws Exception {
    int owner = owner();
    beginDisturbance("store of node-" + owner);
    for (int node : otherNodes(owner)) {
      network.workerProxy(node, worker).addFault(FaultProxy.Mode.DROP_ALL);
    }
    network.storeProxy(owner).addFault(FaultProxy.Mode.DROP_ALL);
    awaitOwnerOtherThan(List.of(owner));
    endDisturbance("store of node-" + owner);
    return owner;
  }

  void reconnectStore(int node) {
    network.storeProxy(node).removeFault(FaultProxy.Mode.DROP_ALL);
    endDisturbance("path of node-" + node + " to the store");
  }

  private void beginDisturbance(String what) {
    faults.record("disturbed: " + what);
    disturbedSinceMs.put(what, SoakRun.nowMs());
  }

  private void endDisturbance(String what) {
    faults.record("over, or lost for good: " + what);
    lastDisturbanceMs = SoakRun.nowMs();
    faults
        .timeline()
        .add(
            FaultScope.ofOthers(),
            disturbedSinceMs.getOrDefault(what, lastDisturbanceMs),
            lastDisturbanceMs);
  }

  @Override
  public void close() throws IOException {
    stallProbe.close();
    network.close();
  }
}
