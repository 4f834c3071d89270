package org.plantainloom.soak;

import java.util.Random;

/** What happens in a run that judges whether anything is lost, and for how long. */
enum LossProfile {
  /** Signals and configurations only. */
  PLANNED("planned", 25_000, 0),
  /** Signals and configurations first, then these among overlapping faults. */
  SERIES("series", 8_000, 22_000);

  private static final Range SUSPENDED_MS = new Range(500, 5_000);
  private static final Range FAULT_MS = new Range(500, 6_000);

  /** Longer than a lease, so that runs lapse at workers that are up. */
  private static final Range LAPSE_MS = new Range(6_000, 9_000);

  private final String label;
  private final long plannedMs;
  private final long disruptedMs;

  LossProfile(String label, long plannedMs, long disruptedMs) {
    this.label = label;
    this.plannedMs = plannedMs;
    this.disruptedMs = disruptedMs;
  }

  /** Returns the beginning of the names of properties and folders. */
  String label() {
    return label;
  }

  /** Returns how long there is planned work only. */
  long plannedMs() {
    return plannedMs;
  }

  /** Returns how long there are faults beside planned work. */
  long disruptedMs() {
    return disruptedMs;
  }

  /** Starts some random planned work. */
  void plan(LossInjector injector, int owner) throws Exception {
    Random random = injector.random();
    int node = injector.drawNode(owner);
    switch (random.nextInt(6)) {
      case 0, 1, 2 -> injector.terminateInTurn(node, random.nextInt(3) == 0);
      case 3, 4 -> injector.hangUp(node);
      default -> injector.configure();
    }
  }

  /** What happens at the last moment before the calm. */
  enum LastBlow {
    NONE {
      @Override
      void strike(LossInjector injector, int owner) {}
    },
    /** A worker with a lasting task is lost, and its owner is killed. */
    WORKER_AND_OWNER {
      @Override
      void strike(LossInjector injector, int owner) throws Exception {
        injector.loseBusyWorker();
        injector.kill(owner < 0 ? injector.drawNode(owner) : owner, true);
      }
    },
    /** A worker with a lasting task is lost, and all nodes are killed. */
    WORKER_AND_NODES {
      @Override
      void strike(LossInjector injector, int owner) throws Exception {
        injector.loseBusyWorker();
        // The previous owner cannot be asked.
        injector.killAll(owner);
      }
    };

    static LastBlow draw(Random random) {
      return values()[random.nextInt(values().length)];
    }

    abstract void strike(LossInjector injector, int owner) throws Exception;
  }

  /** Starts one random fault, or some planned work. */
  void disrupt(LossInjector injector, int owner) throws Exception {
    Random random = injector.random();
    int node = injector.drawNode(owner);
    int worker = injector.drawWorker();
    boolean elsewhere = random.nextBoolean();
    switch (random.nextInt(20)) {
      case 0, 1 -> injector.terminate(node, elsewhere);
      case 2, 3, 4 -> injector.kill(node, elsewhere);
      case 5 -> injector.killAll(node);
      case 6 -> injector.loseNode(node);
      case 7, 8, 9 -> injector.suspend(node, SUSPENDED_MS);
      case 10, 11 -> injector.loseWorker(worker);
      case 12, 13 -> injector.faults().reboot(worker, FAULT_MS);
      case 14 -> injector.faults().delayWrites(new Range(15, 60).draw(random), FAULT_MS);
      case 15 -> injector.faults().delayStarts(worker, FAULT_MS);
      case 16 -> injector.failTasks(worker, FAULT_MS);
      case 17 -> injector.faults().silenceStore(LAPSE_MS);
      case 18 -> injector.hangUp(node);
      default -> injector.configure();
    }
  }
}
