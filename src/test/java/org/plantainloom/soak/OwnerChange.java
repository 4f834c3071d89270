package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.List;

/** A scripted change of owner after which lasting tasks have to run again. */
enum OwnerChange {
  /** Two workers and the owner's machine do not return; the other nodes do at once, elsewhere. */
  ALL_NODES_LOSE_POWER_AND_RETURN_ELSEWHERE {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseAllNodes(run, true);
    }
  },

  /** The same, but the other nodes return at their addresses. */
  ALL_NODES_LOSE_POWER_AND_RETURN {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseAllNodes(run, false);
    }
  },

  /**
   * Two owners are lost while the third node is suspended; the second one right after its claim.
   */
  SUCCESSOR_JUST_WOKEN {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseOwnersWhileThirdNodeSleeps(
          run,
          owner -> {
            int second = run.awaitOwnerOtherThan(List.of(owner));
            run.pause(100);
            run.cutPower(second);
          });
    }
  },

  /** The second node is lost before its claim, so that the third one is the next owner. */
  ONLY_NODE_JUST_WOKEN {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseOwnersWhileThirdNodeSleeps(
          run,
          owner -> {
            run.pause(1_500);
            run.cutPower(run.otherNodes(owner).get(0));
          });
    }
  },

  OWNER_AND_WORKER_LOST {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      run.losePower(run.owner());
      run.loseWorkers(run.busyWorkers(1));
    }
  },

  /** The next owner is lost as well, right after its claim. */
  SUCCESSOR_LOST_AFTER_CLAIM {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      int owner = run.owner();
      run.losePower(owner);
      run.loseWorkers(run.busyWorkers(1));
      int successor = run.awaitOwnerOtherThan(List.of(owner));
      run.pause(100);
      run.losePower(successor);
    }
  },

  OWNER_LOST_300_MS_AFTER_WORKER {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseOwnerAfterWorker(run, 300);
    }
  },

  OWNER_LOST_600_MS_AFTER_WORKER {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseOwnerAfterWorker(run, 600);
    }
  },

  OWNER_LOST_900_MS_AFTER_WORKER {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseOwnerAfterWorker(run, 900);
    }
  },

  OWNER_LOST_1200_MS_AFTER_WORKER {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseOwnerAfterWorker(run, 1_200);
    }
  },

  OWNER_LOST_1500_MS_AFTER_WORKER {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      loseOwnerAfterWorker(run, 1_500);
    }
  },

  /** The former owner is there again when a worker is lost that only it had reached. */
  OWNER_WITHOUT_STORE_REPLACED {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      int worker = run.busyWorkers(1).get(0);
      int owner = run.replaceOwnerWithoutStore(worker);
      run.loseWorkers(List.of(worker));
      run.reconnectStore(owner);
    }
  },

  /** The former owner is lost with a worker that only it had reached. */
  OWNER_WITHOUT_STORE_REPLACED_AND_LOST {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      int worker = run.busyWorkers(1).get(0);
      int owner = run.replaceOwnerWithoutStore(worker);
      run.losePower(owner);
      run.loseWorkers(List.of(worker));
    }
  },

  /** Each owner is lost 1.5 s after its claim, until one node is left. */
  CHAIN_OF_OWNERS_LOST(5) {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      List<Integer> lost = new ArrayList<>(List.of(run.owner()));
      run.losePower(lost.get(0));
      run.loseWorkers(run.busyWorkers(1));
      while (lost.size() < nodes() - 1) {
        int owner = run.awaitOwnerOtherThan(lost);
        run.pause(1_500);
        run.losePower(owner);
        lost.add(owner);
      }
    }
  },

  /** All machines lose power; one worker does not return, the others do after two seconds. */
  ALL_NODES_AND_WORKERS_LOSE_POWER {
    @Override
    void play(OwnerChangeRun run) throws Exception {
      int owner = run.owner();
      int lost = run.busyWorkers(1).get(0);
      run.cutPower(owner);
      run.loseWorkers(List.of(lost));
      List<Integer> others = run.workersOtherThan(lost);
      for (int worker : others) {
        run.cutPowerOfWorker(worker);
      }
      for (int node : run.otherNodes(owner)) {
        run.cutPower(node);
      }
      run.pause(2_000);
      for (int worker : others) {
        run.restoreWorker(worker);
      }
      run.restore(owner);
      for (int node : run.otherNodes(owner)) {
        run.restore(node);
      }
    }
  };

  private final int nodes;

  OwnerChange() {
    this(3);
  }

  OwnerChange(int nodes) {
    this.nodes = nodes;
  }

  int nodes() {
    return nodes;
  }

  /** Returns the name of the folder of the logs, and the name in reports. */
  String label() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }

  /** Carries out the disturbances; lasting tasks run on some of the workers. */
  abstract void play(OwnerChangeRun run) throws Exception;

  private static void loseAllNodes(OwnerChangeRun run, boolean elsewhere) throws Exception {
    int owner = run.owner();
    List<Integer> others = run.otherNodes(owner);
    run.losePower(owner);
    run.loseWorkers(run.busyWorkers(2));
    for (int node : others) {
      run.cutPower(node);
    }
    for (int node : others) {
      if (elsewhere) {
        run.restoreElsewhere(node);
      } else {
        run.restore(node);
      }
    }
  }

  /** Takes the power from the second node, given the former owner. */
  @FunctionalInterface
  private interface SecondLoss {
    void accept(int owner) throws Exception;
  }

  private static void loseOwnersWhileThirdNodeSleeps(OwnerChangeRun run, SecondLoss secondLoss)
      throws Exception {
    int owner = run.owner();
    int second = run.otherNodes(owner).get(0);
    int third = run.otherNodes(owner).get(1);
    run.suspend(third);
    long wakesMs = SoakRun.nowMs() + 9_000;
    run.pause(3_000);
    run.loseWorkers(run.busyWorkers(1));
    run.pause(1_600);
    run.cutPower(owner);
    secondLoss.accept(owner);
    run.pause(wakesMs - SoakRun.nowMs());
    run.resume(third);
    run.restoreElsewhere(owner);
    run.restoreElsewhere(second);
  }

  private static void loseOwnerAfterWorker(OwnerChangeRun run, long afterMs) throws Exception {
    int owner = run.owner();
    run.loseWorkers(run.busyWorkers(1));
    run.pause(afterMs);
    run.losePower(owner);
  }
}
