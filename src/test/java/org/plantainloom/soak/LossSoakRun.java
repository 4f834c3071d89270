package org.plantainloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.plantainloom.platform.standin.WorkerLayout;

/**
 * One run of the soak test that judges whether jobs, tasks or responses are lost. Planned work and
 * faults overlap for a time; then all is calm, the traffic ends, and after a further time each
 * accepted job is asked for.
 */
final class LossSoakRun implements AutoCloseable {
  private static final int NODES = Integer.getInteger("plantainloom.soak.nodes", 3);
  private static final int WORKERS = Integer.getInteger("plantainloom.soak.workers", 8);
  private static final int CALLERS = Integer.getInteger("plantainloom.soak.callers", 4 * NODES);

  /** Number of workers that the usual number of jobs is for. */
  private static final double USUAL_WORKERS = 8;

  private static final int ZONES = 3;
  private static final long TASK_MS = 300;
  private static final int MAX_ACTIVE_FAULTS = 4;
  private static final Range PLANNED_PAUSE_MS = new Range(300, 1_500);
  private static final Range FAULT_PAUSE_MS = new Range(200, 2_500);
  private static final long STEP_MS = 50;
  private static final long START_TIMEOUT_MS = 30_000;

  /** Number of starts before the first fault, so that an owner knows all workers. */
  private static final int WARM_UP_STARTS = 60;

  /** Time from the last fault to the end of the traffic. */
  private static final long CALM_MS = 6_000;

  /** Limit of the wait for a time in which the machine gives the platform its processor time. */
  private static final long MAX_FINISH_MS = 90_000;

  /** Number of exits after which a run ends: each start of a process takes a second of a core. */
  private static final int MAX_UNEXPECTED_EXITS = 10;

  private final LossProfile profile;
  private final Random random;
  private final Path directory;
  private final InvariantChecker checker = new InvariantChecker();
  private final FaultSchedule faults = new FaultSchedule();
  private final ExchangeLog exchanges = new ExchangeLog();
  private final SoakNetwork network;
  private final StallProbe stallProbe;
  private final LossInjector injector;
  private final LossTraffic traffic;
  private final LossCallers callers;
  private final LossProfile.LastBlow lastBlow;
  private int unexpectedExits;

  /** Starts a fault or planned work. */
  @FunctionalInterface
  private interface Disruption {
    void start(LossInjector injector, int owner) throws Exception;
  }

  private LossSoakRun(LossProfile profile, long seed, Path directory) throws Exception {
    this.profile = profile;
    this.random = new Random(seed);
    this.directory = directory;
    WorkerLayout layout = new WorkerLayout(WORKERS, ZONES, TASK_MS, true);
    this.network = SoakNetwork.start(directory, NODES, layout, checker);
    this.stallProbe = StallProbe.start(network.platform().storeAddress());
    this.injector = new LossInjector(network, checker, faults, new Random(random.nextLong()));
    this.traffic =
        new LossTraffic(exchanges, checker, new Random(random.nextLong()), WORKERS / USUAL_WORKERS);
    this.lastBlow = LossProfile.LastBlow.draw(random);
    this.callers = LossCallers.start(network, traffic, CALLERS, checker, random);
  }

  /** Starts the processes of a run. */
  static LossSoakRun start(LossProfile profile, long seed) throws Exception {
    Path logs = Path.of(System.getProperty("plantainloom.soak.logs", "target/soak"));
    Path directory = logs.resolve(profile.label() + "-" + seed);
    Files.createDirectories(directory);
    return new LossSoakRun(profile, seed, directory);
  }

  /** Disrupts the nodes, goes on in calm, and returns the violations. */
  List<String> execute() throws Exception {
    long warmUpEnd = SoakRun.nowMs() + START_TIMEOUT_MS;
    while (checker.starts() < WARM_UP_STARTS && SoakRun.nowMs() < warmUpEnd) {
      step();
    }
    disrupt(profile.plannedMs(), PLANNED_PAUSE_MS, profile::plan);
    disrupt(profile.disruptedMs(), FAULT_PAUSE_MS, profile::disrupt);
    if (profile.disruptedMs() > 0) {
      faults.record("last blow " + lastBlow);
      lastBlow.strike(injector, network.owner().orElse(-1));
    }
    faults.healAll();
    faults.record("calm from here");
    stepFor(CALM_MS);
    traffic.stopSubmitting();
    faults.record("end of the traffic");
    long askedFromMs = askForAll();
    callers.awaitEnd();
    stallProbe.stalls().forEach(faults::addStall);
    List<String> violations = new ArrayList<>(checker.violations());
    judge(askedFromMs).forEach(violation -> violations.add(violation.toString()));
    Files.write(directory.resolve("faults.log"), faults.log());
    Files.write(directory.resolve("broken.log"), violations);
    Files.write(
        directory.resolve("exchanges.log"),
        exchanges.all().stream().map(Exchange::toString).toList());
    return violations;
  }

  /** Asks for each accepted job after the bound, and returns when that began. */
  private long askForAll() throws Exception {
    long endMs = SoakRun.nowMs() + MAX_FINISH_MS;
    stepFor(FinishedTrafficRule.BOUND_MS);
    while (true) {
      while (hasStalled(SoakRun.nowMs() - FinishedTrafficRule.BOUND_MS)
          && SoakRun.nowMs() < endMs) {
        step();
      }
      long askedFromMs = SoakRun.nowMs();
      traffic.askForAll();
      stepFor(Math.max(IdleJobRule.BOUND_MS, Exchange.DEADLINE_MS));
      if (!hasStalled(askedFromMs)) {
        return askedFromMs;
      } else if (SoakRun.nowMs() > endMs) {
        checker.report("not judged: the machine stalled too often at the end");
        return askedFromMs;
      }
    }
  }

  private boolean hasStalled(long sinceMs) {
    return stallProbe.stalls().stream().anyMatch(stall -> stall.endMs() > sinceMs);
  }

  /** Returns how much was observed. */
  String summary() {
    List<Exchange> all = exchanges.all();
    return "nodes="
        + network.nodes().size()
        + " starts="
        + checker.starts()
        + " jobs="
        + traffic.jobs().size()
        + " requests="
        + all.size()
        + " cut="
        + all.stream().filter(exchange -> exchange.end() == Exchange.End.CUT).count()
        + " planned="
        + injector.work().size()
        + " slow-beside-planned="
        + new CutRequestRule(injector.work(), faults.timeline()).judged(all)
        + " stalls="
        + stallProbe.stalls().size();
  }

  private void disrupt(long durationMs, Range pauseMs, Disruption disruption) throws Exception {
    long end = SoakRun.nowMs() + durationMs;
    long nextMs = SoakRun.nowMs();
    while (SoakRun.nowMs() < end) {
      step();
      faults.healExpired();
      if (SoakRun.nowMs() >= nextMs && faults.activeCount() < MAX_ACTIVE_FAULTS) {
        disruption.start(injector, network.owner().orElse(-1));
        nextMs = SoakRun.nowMs() + pauseMs.draw(random);
      }
    }
  }

  private void stepFor(long durationMs) throws Exception {
    long end = SoakRun.nowMs() + durationMs;
    while (SoakRun.nowMs() < end) {
      step();
    }
  }

  private void step() throws Exception {
    network.owner();
    for (int i = 0; i < network.nodes().size(); i++) {
      SoakNode node = network.nodes().get(i);
      if (!injector.isGone(i) && node.exitedUnexpectedly()) {
        checker.report(node.name + " exited unexpectedly");
        if (++unexpectedExits > MAX_UNEXPECTED_EXITS) {
          throw new IllegalStateException("the nodes do not stay up, see their logs");
        }
        node.start();
      }
    }
    Thread.sleep(STEP_MS);
  }

  private List<Violation> judge(long askedFromMs) {
    Collection<SoakJob> jobs = traffic.jobs();
    RunHistory history = checker.history();
    long judgedUntilMs = askedFromMs + IdleJobRule.BOUND_MS;
    List<String> workers =
        IntStream.range(0, network.workers()).mapToObj(SoakNetwork::workerId).toList();
    List<Violation> violations =
        new ArrayList<>(
            new LastingTaskRule(workers, jobs, faults.timeline(), checker::owner)
                .violations(history, judgedUntilMs));
    violations.addAll(new IdleJobRule(workers, jobs, history).violations(exchanges, askedFromMs));
    violations.addAll(new VisibleJobRule(faults.timeline()).violations(exchanges));
    violations.addAll(new JobStateRule(jobs, history).violations(exchanges));
    violations.addAll(new FinishedTrafficRule(askedFromMs).violations(jobs, exchanges));
    violations.addAll(
        new CutRequestRule(injector.work(), faults.timeline()).violations(exchanges.all()));
    violations.addAll(
        new CancellationRule(jobs, faults.timeline(), checker::owner)
            .lateStarts(history.entries()));
    return violations;
  }

  @Override
  public void close() throws IOException {
    callers.close();
    stallProbe.close();
    network.close();
  }
}
