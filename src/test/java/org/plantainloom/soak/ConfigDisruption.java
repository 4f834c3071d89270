package org.plantainloom.soak;

import java.util.List;
import java.util.Locale;
import java.util.Random;

/** Kinds of disruptions beside which configurations have to be in force in time. */
enum ConfigDisruption {
  NONE {
    @Override
    void start(FaultInjector faults, int owner) {}
  },
  /** Open connections fall silent for good, while new ones work. */
  SILENT_CONNECTIONS {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      switch (faults.random().nextInt(3)) {
        case 0 -> faults.silenceOpenConnections();
        case 1 -> faults.silenceOpenStoreConnections();
        default -> faults.silenceOpenStoreConnections(faults.drawNode());
      }
    }
  },
  /** What is on its way to or from the store arrives late. */
  FREEZE {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      faults.freezeStorePath(faults.drawNode(), FAULT_MS);
    }
  },
  SUSPENSION {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      faults.suspend(faults.random().nextBoolean() ? owner : faults.drawNode(), FAULT_MS);
    }
  },
  USAGE_CAP {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      faults.capUsage(
          faults.random().nextBoolean() ? owner : faults.drawNode(),
          new Range(25, 60).draw(faults.random()),
          CAP_MS);
    }
  },
  LOST_HISTORY {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      if (faults.random().nextBoolean()) {
        faults.dropHistory();
      } else {
        faults.compactSilently(COMPACTION_MS);
      }
    }
  },
  REFUSAL {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      int node = faults.random().nextBoolean() ? owner : faults.drawNode();
      switch (faults.random().nextInt(3)) {
        case 0 -> faults.rejectAtStore(node, FAULT_MS);
        case 1 -> faults.silenceStoreFor(node, FAULT_MS);
        default -> faults.silenceWatchesOf(node, FAULT_MS);
      }
    }
  },
  STORE {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      switch (faults.random().nextInt(5)) {
        case 0 -> faults.takeStoreDown(FAULT_MS);
        case 1 -> faults.silenceStore(FAULT_MS);
        case 2 -> faults.slowStore(FAULT_MS);
        case 3 -> faults.loseResponses(1 + faults.random().nextInt(4));
        default -> faults.delayWrites(50, FAULT_MS);
      }
    }
  },
  RESTART {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      int node = faults.random().nextBoolean() ? owner : faults.drawNode();
      if (faults.random().nextBoolean()) {
        faults.kill(node, FAULT_MS);
      } else {
        faults.terminate(node, STOP_MS);
      }
    }
  },
  /** One of the other kinds each time; connections that fall silent most often. */
  ANY {
    @Override
    void start(FaultInjector faults, int owner) throws Exception {
      Random random = faults.random();
      List<ConfigDisruption> others =
          List.of(FREEZE, SUSPENSION, USAGE_CAP, LOST_HISTORY, REFUSAL, STORE, RESTART);
      ConfigDisruption kind =
          random.nextInt(3) == 0 ? SILENT_CONNECTIONS : others.get(random.nextInt(others.size()));
      kind.start(faults, owner);
    }
  };

  private static final Range FAULT_MS = new Range(200, 5_000);
  private static final Range CAP_MS = new Range(3_000, 9_000);
  private static final Range COMPACTION_MS = new Range(800, 1_500);
  private static final Range STOP_MS = new Range(2_000, 6_000);

  /** Returns the part of the names of folders. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Starts one disruption of this kind. */
  abstract void start(FaultInjector faults, int owner) throws Exception;
}
