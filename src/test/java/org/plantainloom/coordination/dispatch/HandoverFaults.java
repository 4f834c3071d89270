package org.plantainloom.coordination.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;

/** Draws the faults of a schedule. */
final class HandoverFaults {
  static final long END_MS = 15_000;
  private static final int FIRST_MS = 1_000;
  private static final int SHORTEST_CUT_MS = 3_000;
  private static final int CUT_RANGE_MS = 12_000;

  /** The registration of a worker that does not reach the store is removed after this time. */
  private static final long REGISTRATION_EXPIRY_MS = 3_300;

  private final HandoverSimulation simulation;
  private final Random random;

  HandoverFaults(HandoverSimulation simulation, Random random) {
    this.simulation = simulation;
    this.random = random;
  }

  private long drawTimeMs() {
    return FIRST_MS + (long) random.nextInt((int) END_MS - FIRST_MS);
  }

  private long drawCutMs() {
    return SHORTEST_CUT_MS + (long) random.nextInt(CUT_RANGE_MS);
  }

  private HandoverWorker drawWorker() {
    List<HandoverWorker> workers = simulation.workers();
    return workers.get(random.nextInt(workers.size()));
  }

  private void repeat(int times, Runnable fault) {
    for (int i = 0; i < times; i++) {
      simulation.after(drawTimeMs(), fault);
    }
  }

  void scheduleUsualFaults() {
    repeat(4, this::injectUsualFault);
  }

  /** Pauses the owner, replaces it, or does both in either order; or silences a worker. */
  private void injectUsualFault() {
    HandoverOwner owner = simulation.currentOwner();
    switch (random.nextInt(6)) {
      case 0 -> owner.pause(500 + random.nextInt(6_000));
      case 1 -> {
        owner.pause(500 + random.nextInt(6_000));
        simulation.after(random.nextInt(4_000), simulation::replaceOwner);
      }
      case 2 -> simulation.replaceOwner();
      case 3 -> {
        simulation.replaceOwner();
        simulation.after(random.nextInt(1_500), simulation::replaceOwner);
      }
      case 4 -> loseRegistration(drawWorker());
      default -> {
        HandoverWorker worker = drawWorker();
        worker.silentUntilMs = simulation.nowMs() + random.nextInt(9_000);
      }
    }
  }

  /** A registration expires with the store although its worker lives, and is back seconds later. */
  private void loseRegistration(HandoverWorker worker) {
    if (random.nextBoolean()) {
      worker.draining = true;
      simulation.tellRegistration(worker);
    }
    worker.registered = false;
    simulation.tellOwner(owner -> owner.dispatcher().workerUnregistered(worker.id()));
    if (random.nextBoolean()) {
      worker.silentUntilMs = simulation.nowMs() + random.nextInt(3_000);
    }
    simulation.after(500 + random.nextInt(1_500), () -> registerAgain(worker));
  }

  private void registerAgain(HandoverWorker worker) {
    if (simulation.network().isCut(worker.zone(), ZoneCut.STORE_ZONE)) {
      simulation.after(500, () -> registerAgain(worker));
      return;
    }
    worker.registered = true;
    worker.draining = false;
    simulation.tellRegistration(worker);
  }

  void scheduleZoneCut() {
    simulation.after(2_000 + random.nextInt(8_000), () -> cutZone(false));
  }

  /** Cuts one zone off from the other one and thus from the store. */
  private void cutZone(boolean holdsMessages) {
    long untilMs = simulation.nowMs() + drawCutMs();
    int directions = random.nextInt(4);
    simulation.network().add(new ZoneCut(untilMs, directions != 0, directions != 1, holdsMessages));
    HandoverOwner owner = simulation.currentOwner();
    if (owner.zone() != ZoneCut.STORE_ZONE) {
      // The store may also remove the key of an owner that it cannot reach at once.
      simulation.after(
          random.nextBoolean() ? OwnershipLease.KEY_TTL_MS : random.nextInt(500),
          () -> replaceIfCutOff(owner));
    }
    for (HandoverWorker worker : simulation.workers()) {
      if (worker.zone() != ZoneCut.STORE_ZONE && random.nextBoolean()) {
        simulation.after(REGISTRATION_EXPIRY_MS, () -> loseRegistration(worker));
      }
    }
  }

  private void replaceIfCutOff(HandoverOwner owner) {
    if (simulation.currentOwner() == owner) {
      simulation.replaceOwner();
    }
  }

  void schedulePartedOwners() {
    repeat(2 + random.nextInt(4), this::partOwners);
    if (random.nextBoolean()) {
      repeat(1 + random.nextInt(2), () -> cutZone(random.nextBoolean()));
    }
  }

  /** Cuts some owners off from some workers, beside a pause or a change of the owner. */
  private void partOwners() {
    HandoverOwner owner = simulation.currentOwner();
    int directions = random.nextInt(4);
    simulation
        .network()
        .add(
            new WorkerCut(
                drawTerms(owner.term()),
                drawWorkers(),
                directions != 0,
                directions != 1,
                simulation.nowMs() + drawCutMs(),
                random.nextBoolean()));
    if (random.nextInt(3) == 0) {
      owner.pause(500 + random.nextInt(4_000));
    }
    if (random.nextBoolean()) {
      simulation.after(random.nextInt(5_000), simulation::replaceOwner);
    }
  }

  private IntPredicate drawTerms(int term) {
    return switch (random.nextInt(4)) {
      case 0 -> other -> other == term;
      case 1 -> other -> other <= term;
      case 2 -> other -> other > term;
      default -> other -> other % 2 == term % 2;
    };
  }

  private Set<HandoverWorker> drawWorkers() {
    Set<HandoverWorker> drawn = new HashSet<>();
    drawn.add(drawWorker());
    if (random.nextBoolean()) {
      drawn.add(drawWorker());
    }
    return drawn;
  }

  void scheduleStoreFaults() {
    repeat(1 + random.nextInt(2), this::shutDownStore);
    repeat(1 + random.nextInt(3), () -> simulation.store().disturb(1_000 + random.nextInt(7_000)));
  }

  /** The owner's key may expire during an outage of the store, or shortly after it. */
  private void shutDownStore() {
    long durationMs = 500L + random.nextInt(6_000);
    simulation.store().shutDown(durationMs);
    if (random.nextBoolean()) {
      simulation.after(durationMs + random.nextInt(3_000), simulation::replaceOwner);
    }
  }

  /** Removes the key of an owner that acts, and parts its successor from some workers. */
  void scheduleEarlySuccessors() {
    repeat(2 + random.nextInt(3), this::replaceActingOwner);
  }

  private void replaceActingOwner() {
    int term = simulation.currentOwner().term();
    simulation
        .network()
        .add(
            new WorkerCut(
                other -> other > term,
                drawWorkers(),
                true,
                true,
                simulation.nowMs() + 200 + random.nextInt(6_000),
                random.nextBoolean()));
    simulation.replaceOwner();
    disturbWatch(simulation.currentOwner());
    for (int i = random.nextInt(3); i >= 0; i--) {
      simulation.after(random.nextInt(2_200), simulation::submit);
    }
  }

  private void disturbWatch(HandoverOwner owner) {
    if (random.nextInt(5) == 0) {
      owner.silenceWatch(random.nextInt(14_000));
    } else {
      owner.delayWatch(1 + random.nextInt(60));
    }
  }

  void scheduleStaleLists() {
    repeat(2 + random.nextInt(3), this::loseOwnerOfRegainedWorker);
  }

  /**
   * A worker is silent for a while, the store fails as it answers again, and the next owner does
   * not reach it.
   */
  private void loseOwnerOfRegainedWorker() {
    HandoverWorker worker = drawWorker();
    long silentMs = 700L + random.nextInt(3_000);
    worker.silentUntilMs = simulation.nowMs() + silentMs;
    simulation.after(
        silentMs - random.nextInt(300),
        () -> simulation.store().disturb(1_000 + random.nextInt(4_000)));
    simulation.after(
        silentMs + random.nextInt(3_000),
        () -> {
          int term = simulation.currentOwner().term();
          long untilMs = simulation.nowMs() + 3_000 + random.nextInt(8_000);
          simulation
              .network()
              .add(
                  new WorkerCut(other -> other > term, Set.of(worker), true, true, untilMs, false));
          simulation.replaceOwner();
        });
  }

  void scheduleRestarts() {
    repeat(2 + random.nextInt(5), this::restartWorker);
  }

  private void restartWorker() {
    HandoverWorker worker = drawWorker();
    long downMs = 200L + random.nextInt(1_800);
    worker.restart(random.nextInt(3) == 0 ? "b" : "a", downMs);
    simulation.after(downMs + random.nextInt(300), () -> announce(worker));
  }

  private void announce(HandoverWorker worker) {
    if (worker.registered && !simulation.tellRegistration(worker)) {
      simulation.after(500, () -> announce(worker));
    }
  }
}
