package org.plantainloom.soak;

import java.util.Random;

/** What callers do in a run, which faults it has, and for how long. */
enum DisruptionProfile {
  /** Callers cancel most jobs, while the store, the owner and the workers fail. */
  CANCELLATIONS("cancel", 35_000, 8_000, 4, 200, 2_500) {
    @Override
    Runnable callers(SoakCallers callers, Random random) {
      return new CancellingCallers(callers, random)::step;
    }

    @Override
    void disrupt(FaultInjector faults, SoakNetwork network, int owner) throws Exception {
      Random random = faults.random();
      int node = random.nextBoolean() ? owner : faults.drawNode();
      switch (random.nextInt(20)) {
        case 0 -> faults.takeStoreDown(FAULT_MS);
        case 1 -> faults.silenceStore(FAULT_MS);
        case 2 -> faults.silenceStoreFor(node, FAULT_MS);
        case 3 -> faults.rejectAtStore(node, FAULT_MS);
        case 4 -> faults.slowStore(FAULT_MS);
        case 5 -> faults.loseResponses(1 + random.nextInt(4));
        case 6, 7 -> faults.delayWrites(new Range(15, 60).draw(random), FAULT_MS);
        case 8 -> faults.dropHistory();
        case 9 -> faults.silenceWatches(FAULT_MS);
        case 10, 11 -> faults.silenceWatchesOf(owner, FAULT_MS);
        case 12 -> faults.kill(node, FAULT_MS);
        case 13 -> faults.terminate(node, STOP_MS);
        case 14, 15 -> faults.suspend(owner, SUSPENDED_MS);
        case 16 -> faults.cut(NetworkCut.draw(network, owner, random), CUT_MS);
        case 17 -> faults.removeOwnerKey();
        case 18 -> faults.configure();
        default -> faults.delayStarts(faults.drawWorker(), FAULT_MS);
      }
    }
  },

  /** Lasting tasks lose their runs in an early disruption, which is followed by calm. */
  LASTING_TASKS("lasting", 20_000, 40_000, 3, 300, 3_500) {
    @Override
    Runnable callers(SoakCallers callers, Random random) {
      return new LastingCallers(callers, random)::step;
    }

    @Override
    void disrupt(FaultInjector faults, SoakNetwork network, int owner) throws Exception {
      Random random = faults.random();
      switch (random.nextInt(12)) {
        case 0, 1 -> faults.silenceStore(LAPSE_MS);
        case 2 ->
            faults.cut(
                NetworkCut.draw(network, NetworkCut.Shape.OWNER_FROM_ALL_WORKERS, owner, random),
                CUT_MS);
        case 3 -> faults.cut(NetworkCut.draw(network, owner, random), CUT_MS);
        case 4, 5 -> faults.loseForGood(owner, faults.drawWorker());
        case 6 -> faults.kill(owner, FAULT_MS);
        case 7 -> faults.terminate(owner, STOP_MS);
        case 8 -> faults.suspend(owner, SUSPENDED_MS);
        case 9 -> faults.removeOwnerKey();
        case 10 -> faults.configure();
        default -> faults.reboot(faults.drawWorker(), FAULT_MS);
      }
    }
  };

  private static final Range FAULT_MS = new Range(200, 6_000);
  private static final Range SUSPENDED_MS = new Range(500, 5_000);
  private static final Range STOP_MS = new Range(2_000, 8_000);
  private static final Range CUT_MS = new Range(3_000, 12_000);

  /** Longer than a lease, so that runs lapse at workers that are up. */
  private static final Range LAPSE_MS = new Range(6_000, 10_000);

  private final String label;
  private final long disruptedMs;
  private final long calmMs;
  private final int maxActiveFaults;
  private final int minPauseMs;
  private final int maxPauseMs;

  DisruptionProfile(
      String label,
      long disruptedMs,
      long calmMs,
      int maxActiveFaults,
      int minPauseMs,
      int maxPauseMs) {
    this.label = label;
    this.disruptedMs = disruptedMs;
    this.calmMs = calmMs;
    this.maxActiveFaults = maxActiveFaults;
    this.minPauseMs = minPauseMs;
    this.maxPauseMs = maxPauseMs;
  }

  /** Returns the beginning of the names of properties and folders. */
  String label() {
    return label;
  }

  long disruptedMs() {
    return disruptedMs;
  }

  /** Returns how long callers go on after the last fault. */
  long calmMs() {
    return calmMs;
  }

  int maxActiveFaults() {
    return maxActiveFaults;
  }

  /** Returns the range of the pauses between the starts of faults. */
  Range pauseMs() {
    return new Range(minPauseMs, maxPauseMs);
  }

  /** Returns what the callers do in each step. */
  abstract Runnable callers(SoakCallers callers, Random random);

  /** Starts one random fault. */
  abstract void disrupt(FaultInjector faults, SoakNetwork network, int owner) throws Exception;
}
