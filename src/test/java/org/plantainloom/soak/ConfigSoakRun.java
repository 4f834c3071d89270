package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.plantainloom.platform.standin.WorkerLayout;

/**
 * One run of the soak test that judges whether configurations are in force in time and stay so.
 * Queues are added, dropped and re-targeted while disruptions come in bursts, each followed by a
 * calm in which nodes are in touch again.
 */
final class ConfigSoakRun implements AutoCloseable {
  private static final int NODES = Integer.getInteger("plantainloom.soak.nodes", 3);
  private static final int ZONES = 3;
  private static final int WORKERS = 6;
  private static final long TASK_MS = 200;

  private static final long RUN_MS = Long.getLong("plantainloom.soak.config.run-ms", 25_000);
  private static final long STEP_MS = 20;
  private static final long START_TIMEOUT_MS = 30_000;
  private static final Range BURST = new Range(1, 4);
  private static final Range BURST_PAUSE_MS = new Range(0, 700);

  /** Long enough that nodes are in touch again, and that a version is in force, for some time. */
  private static final Range CALM_MS = new Range(4_500, 7_500);

  private static final Range CHANGE_PAUSE_MS = new Range(200, 1_600);

  /** A change that soon after a disruption is made before any node has noticed that. */
  private static final Range CHANGE_AFTER_MS = new Range(0, 450);

  private static final Range CONCURRENT_CALLERS = new Range(6, 14);

  private final Random random;
  private final Path directory;
  private final InvariantChecker checker = new InvariantChecker();
  private final FaultSchedule faults = new FaultSchedule();
  private final SoakNetwork network;
  private final StallProbe stallProbe;
  private final FaultInjector injector;
  private final ConfigOperator operator;
  private final ConfigDisruption only;
  private final boolean submitting;
  private List<QueueExchange> exchanges = List.of();
  private ConfigRule rule = new ConfigRule(List.of(), new FaultTimeline());
  private long nextChangeMs;

  private ConfigSoakRun(long seed, ConfigDisruption only, Path directory) throws Exception {
    this.random = new Random(seed);
    this.only = only;
    this.directory = directory;
    WorkerLayout layout = new WorkerLayout(WORKERS, ZONES, TASK_MS, false);
    this.network = SoakNetwork.start(directory, NODES, layout, checker);
    for (int worker = 0; worker < WORKERS; worker++) {
      network.platform().assignWorker(worker, serviceOf(worker));
    }
    this.stallProbe = StallProbe.start(network.platform().storeAddress());
    this.injector = new FaultInjector(network, checker, faults, new Random(random.nextLong()));
    this.operator = new ConfigOperator(network.platform(), new Random(random.nextLong()));
    this.submitting = random.nextBoolean();
  }

  /** Starts the processes of a run with disruptions of all kinds. */
  static ConfigSoakRun start(long seed) throws Exception {
    return start(seed, ConfigDisruption.ANY);
  }

  /** Starts the processes of a run with disruptions of one kind. */
  static ConfigSoakRun start(long seed, ConfigDisruption only) throws Exception {
    Path logs = Path.of(System.getProperty("plantainloom.soak.logs", "target/soak"));
    Path directory = logs.resolve("config-" + only.label() + "-" + seed);
    Files.createDirectories(directory);
    return new ConfigSoakRun(seed, only, directory);
  }

  private static String serviceOf(int worker) {
    return worker % 2 == 0 ? ConfigOperator.FIRST_SERVICE : ConfigOperator.SECOND_SERVICE;
  }

  private static String serviceOf(String workerId) {
    return serviceOf(SoakNetwork.workerNumber(workerId));
  }

  /** Disrupts the nodes while the configuration changes, and returns the violations. */
  List<String> execute() throws Exception {
    awaitListening();
    openConnections();
    try (QueueCallers callers =
        QueueCallers.start(network, operator, checker, submitting, random)) {
      long endMs = SoakRun.nowMs() + RUN_MS;
      stepFor(CALM_MS.draw(random));
      while (SoakRun.nowMs() < endMs) {
        if (random.nextBoolean()) {
          openConnections();
        }
        for (int i = BURST.draw(random); i > 0; i--) {
          only.start(injector, network.owner().orElseGet(injector::drawNode));
          nextChangeMs = SoakRun.nowMs() + CHANGE_AFTER_MS.draw(random);
          stepFor(BURST_PAUSE_MS.draw(random));
        }
        while (faults.activeCount() > 0) {
          stepFor(STEP_MS);
        }
        stepFor(CALM_MS.draw(random));
      }
      faults.healAll();
      callers.awaitEnd();
      exchanges = callers.exchanges();
      stallProbe.stalls().forEach(faults::addStall);
      return judge(callers);
    }
  }

  private List<String> judge(QueueCallers callers) throws IOException {
    rule = new ConfigRule(operator.versions(), faults.timeline());
    List<String> violations = new ArrayList<>(checker.violations());
    List<Violation> broken = new ArrayList<>(rule.notInForce(exchanges));
    broken.addAll(rule.wentBack(exchanges));
    broken.addAll(
        rule.startedElsewhere(
            checker.history().entries(),
            callers.submissions(),
            ConfigSoakRun::serviceOf,
            checker::owner));
    broken.forEach(violation -> violations.add(violation.toString()));
    Files.write(directory.resolve("faults.log"), faults.log());
    Files.write(directory.resolve("broken.log"), violations);
    Files.write(
        directory.resolve("versions.log"),
        operator.versions().stream()
            .map(version -> Violation.wallMs(version.ackMs()) + " " + version)
            .toList());
    Files.write(
        directory.resolve("exchanges.log"), exchanges.stream().map(Object::toString).toList());
    return violations;
  }

  /** Returns how much was observed. */
  String summary() {
    return "nodes="
        + network.nodes().size()
        + " versions="
        + operator.versions().size()
        + " requests="
        + exchanges.size()
        + " judged="
        + rule.judged(exchanges)
        + " unavailable="
        + exchanges.stream().filter(answer -> answer.exchange().status() / 100 == 5).count()
        + " submitting="
        + submitting
        + " starts="
        + checker.starts()
        + " stalls="
        + stallProbe.stalls().size();
  }

  private void awaitListening() throws Exception {
    long endMs = SoakRun.nowMs() + START_TIMEOUT_MS;
    while (!network.nodes().stream().allMatch(SoakNode::isListening) && SoakRun.nowMs() < endMs) {
      Thread.sleep(STEP_MS);
    }
    stepFor(CALM_MS.max());
  }

  /** Lets callers at each node ask for jobs at once, so that it opens connections to the store. */
  private void openConnections() throws InterruptedException {
    List<Thread> threads = new CopyOnWriteArrayList<>();
    for (int i = 0; i < network.nodes().size(); i++) {
      int node = i;
      for (int caller = CONCURRENT_CALLERS.draw(random); caller > 0; caller--) {
        Thread thread = new Thread(() -> askForUnknownJob(node), "concurrent-caller");
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
      }
    }
    for (Thread thread : threads) {
      thread.join(Exchange.DEADLINE_MS);
    }
  }

  private void askForUnknownJob(int node) {
    try (HttpChannel channel = HttpChannel.connect(node, network.nodes().get(node).callerAddress)) {
      channel.send("GET", "0000000000000000", "");
    } catch (IOException e) {
      // The node does not run.
    }
  }

  private void stepFor(long durationMs) throws Exception {
    long endMs = SoakRun.nowMs() + durationMs;
    do {
      faults.healExpired();
      network.owner();
      if (SoakRun.nowMs() >= nextChangeMs) {
        operator.change();
        faults.record("configured version " + lastVersion());
        nextChangeMs = SoakRun.nowMs() + CHANGE_PAUSE_MS.draw(random);
      }
      for (SoakNode node : network.nodes()) {
        if (node.exitedUnexpectedly()) {
          checker.report(node.name + " exited unexpectedly");
          node.start();
        }
      }
      Thread.sleep(STEP_MS);
    } while (SoakRun.nowMs() < endMs);
  }

  private int lastVersion() {
    List<ConfigVersion> versions = operator.versions();
    return versions.get(versions.size() - 1).version();
  }

  @Override
  public void close() throws IOException {
    stallProbe.close();
    network.close();
  }
}
