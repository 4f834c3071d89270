package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * One run of the soak test with the callers and faults of a profile. Faults overlap for a time;
 * then all end, and the callers go on in calm. The rules for cancelled jobs and lasting tasks are
 * judged from what callers and workers observed and from the schedule of faults.
 */
final class DisruptionSoakRun implements AutoCloseable {
  private static final long CALLER_PAUSE_MS = 90;
  private static final long START_TIMEOUT_MS = 30_000;

  /** Number of starts before the first fault, so that an owner knows all workers. */
  private static final int WARM_UP_STARTS = 60;

  private final DisruptionProfile profile;
  private final Random random;
  private final Path directory;
  private final InvariantChecker checker = new InvariantChecker();
  private final FaultSchedule faults = new FaultSchedule();
  private final SoakNetwork network;
  private final StallProbe stallProbe;
  private final FaultInjector injector;
  private final SoakCallers callers;
  private final Runnable callerStep;

  private DisruptionSoakRun(DisruptionProfile profile, long seed, Path directory) throws Exception {
    this.profile = profile;
    this.random = new Random(seed);
    this.directory = directory;
    this.network = SoakNetwork.start(directory, checker);
    this.stallProbe = StallProbe.start(network.platform().storeAddress());
    this.injector = new FaultInjector(network, checker, faults, random);
    this.callers = new SoakCallers(network.nodes(), checker, random);
    this.callerStep = profile.callers(callers, random);
  }

  /** Starts the processes of a run. */
  static DisruptionSoakRun start(DisruptionProfile profile, long seed) throws Exception {
    Path logs = Path.of(System.getProperty("plantainloom.soak.logs", "target/soak"));
    Path directory = logs.resolve(profile.label() + "-" + seed);
    Files.createDirectories(directory);
    return new DisruptionSoakRun(profile, seed, directory);
  }

  /** Injects faults, heals them, goes on in calm, and returns the violations. */
  List<String> execute() throws Exception {
    long warmUpEnd = SoakRun.nowMs() + START_TIMEOUT_MS;
    while (checker.starts() < WARM_UP_STARTS && SoakRun.nowMs() < warmUpEnd) {
      step();
    }
    disrupt();
    faults.healAll();
    faults.record("calm from here");
    long calmEnd = SoakRun.nowMs() + profile.calmMs();
    while (SoakRun.nowMs() < calmEnd) {
      step();
    }
    long judgedUntilMs = SoakRun.nowMs();
    callers.awaitSettled(network.workers());
    stallProbe.stalls().forEach(faults::addStall);
    List<String> violations = new ArrayList<>(checker.violations());
    judge(judgedUntilMs).forEach(violation -> violations.add(violation.toString()));
    Files.write(directory.resolve("faults.log"), faults.log());
    Files.write(directory.resolve("broken.log"), violations);
    return violations;
  }

  int starts() {
    return checker.starts();
  }

  private void disrupt() throws Exception {
    long end = SoakRun.nowMs() + profile.disruptedMs();
    long nextFault = SoakRun.nowMs();
    while (SoakRun.nowMs() < end) {
      step();
      faults.healExpired();
      int owner = network.owner().orElseGet(injector::drawNode);
      if (SoakRun.nowMs() >= nextFault && faults.activeCount() < profile.maxActiveFaults()) {
        profile.disrupt(injector, network, owner);
        nextFault = SoakRun.nowMs() + profile.pauseMs().draw(random);
      }
    }
  }

  private void step() throws Exception {
    callerStep.run();
    network.owner();
    for (SoakNode node : network.nodes()) {
      if (node.exitedUnexpectedly()) {
        checker.report(node.name + " exited unexpectedly");
        node.start();
      }
    }
    Thread.sleep(CALLER_PAUSE_MS);
  }

  private List<Violation> judge(long judgedUntilMs) {
    CancellationRule cancellations =
        new CancellationRule(callers.jobs(), faults.timeline(), checker::owner);
    List<RunHistory.Entry> runs = checker.history().entries();
    List<Violation> violations = new ArrayList<>(cancellations.lateStarts(runs));
    violations.addAll(cancellations.lateStops(runs, judgedUntilMs));
    List<String> workers =
        IntStream.range(0, network.workers()).mapToObj(SoakNetwork::workerId).toList();
    violations.addAll(
        new LastingTaskRule(workers, callers.jobs(), faults.timeline(), checker::owner)
            .violations(checker.history(), judgedUntilMs));
    return violations;
  }

  @Override
  public void close() throws IOException {
    stallProbe.close();
    network.close();
  }
}
