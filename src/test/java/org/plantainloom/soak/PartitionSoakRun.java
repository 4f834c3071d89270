package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

/**
 * One run of the soak test in which the owner, its zone or some of its workers are cut off in
 * series, while the store, nodes and workers fail as well.
 */
final class PartitionSoakRun implements AutoCloseable {
  private static final long CALLER_PAUSE_MS = 90;
  private static final long START_TIMEOUT_MS = 30_000;

  /** Number of starts before the first fault, so that an owner knows all workers. */
  private static final int WARM_UP_STARTS = 60;

  private static final Range CUT_MS = new Range(3_000, 15_000);
  private static final Range FAULT_MS = new Range(200, 7_200);
  private static final Range REBOOT_MS = new Range(200, 2_000);

  /** Longer than a lease, so that such tasks outlast a change of owner. */
  private static final Range LONG_TASK_MS = new Range(6_500, 12_000);

  /** One in this many jobs has long tasks. */
  private static final int LONG_TASK_RATIO = 8;

  /**
   * An owner that is cut off may order starts for 2 s, and a start that is held up is refused only
   * once its lease of 6 s is over.
   */
  private static final long LONGEST_EXCUSE_MS = 10_000;

  private final Profile profile;
  private final Random random;
  private final Path directory;
  private final InvariantChecker checker = new InvariantChecker();
  private final FaultSchedule faults = new FaultSchedule();
  private final SoakNetwork network;
  private final FaultInjector injector;

  /** Which faults a run has, and when. */
  private enum Profile {
    /** Cuts around the owner, each after the nodes had time to recover from the last one. */
    SEPARATE_CUTS(20, 1, 2_500, 6_000) {
      @Override
      long nextFaultMs(FaultSchedule faults, Random random) {
        return faults.latestEndMs() + pauseMs(random);
      }
    },
    OVERLAPPING_FAULTS(12, 3, 300, 4_000) {
      @Override
      long nextFaultMs(FaultSchedule faults, Random random) {
        return SoakRun.nowMs() + pauseMs(random);
      }
    };

    /** How many of twenty faults are cuts. */
    private final int cuts;

    private final int maxActiveFaults;
    private final int minPauseMs;
    private final int maxPauseMs;

    Profile(int cuts, int maxActiveFaults, int minPauseMs, int maxPauseMs) {
      this.cuts = cuts;
      this.maxActiveFaults = maxActiveFaults;
      this.minPauseMs = minPauseMs;
      this.maxPauseMs = maxPauseMs;
    }

    static Profile of(long seed) {
      return values()[Math.floorMod(seed, values().length)];
    }

    abstract long nextFaultMs(FaultSchedule faults, Random random);

    long pauseMs(Random random) {
      return new Range(minPauseMs, maxPauseMs).draw(random);
    }
  }

  private PartitionSoakRun(long seed, Path directory) throws Exception {
    this.profile = Profile.of(seed);
    this.random = new Random(seed);
    this.directory = directory;
    this.network = SoakNetwork.start(directory, checker);
    this.injector = new FaultInjector(network, checker, faults, random);
  }

  /** Starts the processes of a run. */
  static PartitionSoakRun start(long seed) throws Exception {
    Path logs = Path.of(System.getProperty("plantainloom.soak.logs", "target/soak"));
    Path directory = logs.resolve("partition-" + seed);
    Files.createDirectories(directory);
    return new PartitionSoakRun(seed, directory);
  }

  /** Injects faults for a time, heals them, waits for the jobs, and returns the violations. */
  List<String> execute(long faultsMs) throws Exception {
    SoakCallers callers =
        new SoakCallers(network.nodes(), checker, random, PartitionSoakRun::drawTaskMs);
    warmUp(callers);
    long end = SoakRun.nowMs() + faultsMs;
    long nextFault = SoakRun.nowMs();
    while (SoakRun.nowMs() < end) {
      callers.step();
      faults.healExpired();
      OptionalInt owner = network.owner();
      if (SoakRun.nowMs() >= nextFault && faults.activeCount() < profile.maxActiveFaults) {
        startRandomFault(owner);
        nextFault = profile.nextFaultMs(faults, random);
      }
      restartExitedNodes();
      Thread.sleep(CALLER_PAUSE_MS);
    }
    faults.healAll();
    if (checker.violations().isEmpty()) {
      callers.awaitSettled(network.workers());
    }
    List<String> violations = new ArrayList<>(checker.violations());
    CancellationRule rule = new CancellationRule(callers.jobs(), faults.timeline(), checker::owner);
    List<RunHistory.Entry> runs = checker.history().entries();
    rule.lateStarts(runs, LONGEST_EXCUSE_MS)
        .forEach(violation -> violations.add(violation.toString()));
    rule.lateStops(runs, SoakRun.nowMs())
        .forEach(violation -> violations.add(violation.toString()));
    Files.write(directory.resolve("faults.log"), faults.log());
    Files.write(directory.resolve("broken.log"), violations);
    return violations;
  }

  int starts() {
    return checker.starts();
  }

  private static int drawTaskMs(Random random) {
    return random.nextInt(LONG_TASK_RATIO) == 0 ? LONG_TASK_MS.draw(random) : 0;
  }

  private void warmUp(SoakCallers callers) throws Exception {
    long end = SoakRun.nowMs() + START_TIMEOUT_MS;
    while (checker.starts() < WARM_UP_STARTS && SoakRun.nowMs() < end) {
      callers.step();
      Thread.sleep(CALLER_PAUSE_MS);
    }
  }

  private void restartExitedNodes() throws Exception {
    for (SoakNode node : network.nodes()) {
      if (node.exitedUnexpectedly()) {
        checker.report(node.name + " exited unexpectedly");
        node.start();
      }
    }
  }

  private void startRandomFault(OptionalInt owner) throws Exception {
    int kind = random.nextInt(20);
    int node = random.nextInt(network.nodes().size());
    int worker = random.nextInt(network.workers());
    if (kind < profile.cuts) {
      injector.cut(NetworkCut.draw(network, owner.orElse(node), random), CUT_MS);
    } else if (kind < 15) {
      storeFault(node);
    } else if (kind < 18) {
      processFault(owner.isPresent() && kind < 17 ? owner.getAsInt() : node);
    } else {
      injector.reboot(worker, REBOOT_MS);
    }
  }

  private void storeFault(int node) throws Exception {
    switch (random.nextInt(4)) {
      case 0 -> injector.takeStoreDown(FAULT_MS);
      case 1 -> injector.silenceStore(FAULT_MS);
      case 2 -> injector.rejectAtStore(node, FAULT_MS);
      default -> injector.silenceStoreFor(node, FAULT_MS);
    }
  }

  private void processFault(int node) throws Exception {
    switch (random.nextInt(4)) {
      case 0 -> injector.kill(node, FAULT_MS);
      case 1 -> injector.stop(node, FAULT_MS);
      default -> injector.suspend(node, FAULT_MS);
    }
  }

  @Override
  public void close() throws IOException {
    network.close();
  }
}
