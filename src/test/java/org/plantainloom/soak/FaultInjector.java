package org.plantainloom.soak;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.ObjIntConsumer;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.platform.standin.StoreView;

/**
 * Injects faults into a network, each for a drawn time. A fault that is active already is not
 * started again, and nodes and workers that are gone for good are left alone.
 */
final class FaultInjector {
  private static final long SLOW_STORE_MS = 300;
  private static final Range LATE_WRITE_MS = new Range(1_000, 6_000);
  private static final Range LATE_START_MS = new Range(500, 5_000);

  private final SoakNetwork network;
  private final InvariantChecker checker;
  private final FaultSchedule faults;
  private final Random random;
  private final Set<Integer> lostNodes = new HashSet<>();
  private final Set<Integer> lostWorkers = new HashSet<>();
  private int configVersion = 1;

  FaultInjector(
      SoakNetwork network, InvariantChecker checker, FaultSchedule faults, Random random) {
    this.network = network;
    this.checker = checker;
    this.faults = faults;
    this.random = random;
  }

  Random random() {
    return random;
  }

  int drawNode() {
    return random.nextInt(network.nodes().size());
  }

  int drawWorker() {
    return random.nextInt(network.workers());
  }

  void takeStoreDown(Range durationMs) throws Exception {
    start(
        "store down",
        FaultScope.ofStore(),
        durationMs,
        () -> platform().setStoreDown(true),
        () -> platform().setStoreDown(false));
  }

  /** Lets the store receive nothing and respond to nothing. */
  void silenceStore(Range durationMs) throws Exception {
    start(
        "store silent",
        FaultScope.ofStore(),
        durationMs,
        () -> setStoreSilent(FaultProxy::addFault),
        () -> setStoreSilent(FaultProxy::removeFault));
  }

  private void setStoreSilent(BiConsumer<FaultProxy, FaultProxy.Mode> change) {
    for (int i = 0; i < network.nodes().size(); i++) {
      change.accept(network.storeProxy(i), FaultProxy.Mode.DROP_ALL);
    }
  }

  void silenceStoreFor(int node, Range durationMs) throws Exception {
    start(
        "store silent for node-" + node,
        FaultScope.ofNode(node),
        durationMs,
        () -> network.storeProxy(node).addFault(FaultProxy.Mode.DROP_ALL),
        () -> network.storeProxy(node).removeFault(FaultProxy.Mode.DROP_ALL));
  }

  /** Leaves all open connections between nodes, to the store and to workers silent for good. */
  void silenceOpenConnections() throws Exception {
    faults.strike(
        "all open connections fall silent",
        // As a reset of the connections of all nodes.
        FaultScope.ofStore(),
        () -> {
          for (int node = 0; node < network.nodes().size(); node++) {
            network.storeProxy(node).blackholeConnections();
            for (int worker = 0; worker < network.workers(); worker++) {
              network.workerProxy(node, worker).blackholeConnections();
            }
            for (int other = 0; other < network.nodes().size(); other++) {
              network.controlProxy(node, other).blackholeConnections();
            }
          }
        });
  }

  /** Leaves the open connections of all nodes to the store silent for good. */
  void silenceOpenStoreConnections() throws Exception {
    faults.strike(
        "all open connections to the store fall silent",
        FaultScope.ofStore(),
        () -> {
          for (int node = 0; node < network.nodes().size(); node++) {
            network.storeProxy(node).blackholeConnections();
          }
        });
  }

  /** Leaves the open connections of a node to the store silent for good. */
  void silenceOpenStoreConnections(int node) throws Exception {
    faults.strike(
        "the open connections of node-" + node + " to the store fall silent",
        FaultScope.ofNode(node),
        () -> network.storeProxy(node).blackholeConnections());
  }

  /** Holds back what is on its way between a node and the store. */
  void freezeStorePath(int node, Range durationMs) throws Exception {
    start(
        "path of node-" + node + " to the store frozen",
        FaultScope.ofNode(node),
        durationMs,
        () -> network.storeProxy(node).addFault(FaultProxy.Mode.HOLD_ALL),
        () -> network.storeProxy(node).removeFault(FaultProxy.Mode.HOLD_ALL));
  }

  /** Lets watches hear nothing for a time, and drops the history then. */
  void compactSilently(Range durationMs) throws Exception {
    start(
        "compaction",
        FaultScope.ofStore(),
        durationMs,
        () -> forEachView((view, node) -> view.setWatchesSilent(true)),
        () -> {
          platform().dropHistory();
          forEachView((view, node) -> view.setWatchesSilent(false));
        });
  }

  /** Lets a process run for a part of each tenth of a second only, which is no disruption. */
  void capUsage(int node, int percent, Range durationMs) throws Exception {
    if (!lostNodes.contains(node)) {
      AtomicReference<UsageCap> cap = new AtomicReference<>();
      start(
          "process node-" + node,
          FaultScope.ofOthers(),
          durationMs,
          () -> {
            faults.record("node-" + node + " is capped at " + percent + "%");
            cap.set(UsageCap.start(node(node), percent));
          },
          () -> cap.get().close());
    }
  }

  void rejectAtStore(int node, Range durationMs) throws Exception {
    start(
        "store rejects node-" + node,
        FaultScope.ofNode(node),
        durationMs,
        () -> network.storeView(node).setRejecting(true),
        () -> network.storeView(node).setRejecting(false));
  }

  void slowStore(Range durationMs) throws Exception {
    start(
        "store slow",
        FaultScope.ofStore(),
        durationMs,
        () -> platform().setStoreDelay(SLOW_STORE_MS),
        () -> platform().setStoreDelay(0));
  }

  /** Carries out some of the writes late and without a response. */
  void delayWrites(int percent, Range durationMs) throws Exception {
    start(
        "store writes late " + percent + "%",
        FaultScope.ofStore(),
        durationMs,
        () ->
            forEachView(
                (view, node) ->
                    view.delayWrites(
                        () -> random.nextInt(100) < percent ? LATE_WRITE_MS.draw(random) : 0)),
        () -> forEachView((view, node) -> view.delayWrites(() -> 0)));
  }

  void silenceWatches(Range durationMs) throws Exception {
    start(
        "watches silent",
        FaultScope.ofStore(),
        durationMs,
        () -> forEachView((view, node) -> view.setWatchesSilent(true)),
        () -> forEachView((view, node) -> view.setWatchesSilent(false)));
  }

  void silenceWatchesOf(int node, Range durationMs) throws Exception {
    start(
        "watches silent for node-" + node,
        FaultScope.ofNode(node),
        durationMs,
        () -> network.storeView(node).setWatchesSilent(true),
        () -> network.storeView(node).setWatchesSilent(false));
  }

  private void forEachView(ObjIntConsumer<StoreView> action) {
    for (int i = 0; i < network.nodes().size(); i++) {
      action.accept(network.storeView(i), i);
    }
  }

  void loseResponses(int count) throws Exception {
    faults.strike(
        "lost responses of " + count + " writes",
        FaultScope.ofStore(),
        () -> platform().dropResponses(count));
  }

  void dropHistory() throws Exception {
    faults.strike("dropped history", FaultScope.ofStore(), platform()::dropHistory);
  }

  void removeOwnerKey() throws Exception {
    faults.strike("removed the owner's key", FaultScope.ofStore(), network::removeOwnerKey);
  }

  /** Writes a new configuration, which is no fault but overlaps with them. */
  void configure() {
    platform().configure(++configVersion);
    faults.record("configured version " + configVersion);
  }

  void kill(int node, Range durationMs) throws Exception {
    startProcessFault(node, "killed", durationMs, node(node)::kill, node(node)::start);
  }

  void stop(int node, Range durationMs) throws Exception {
    startProcessFault(node, "stopped", durationMs, node(node)::stop, node(node)::start);
  }

  /** Asks a node to stop while callers go on, and kills it if it is not gone in time. */
  void terminate(int node, Range durationMs) throws Exception {
    startProcessFault(
        node,
        "asked to stop",
        durationMs,
        node(node)::requestStop,
        () -> {
          node(node).kill();
          node(node).start();
        });
  }

  void suspend(int node, Range durationMs) throws Exception {
    startProcessFault(
        node,
        "suspended",
        durationMs,
        () -> node(node).suspend(true),
        () -> node(node).suspend(false));
  }

  private void startProcessFault(
      int node,
      String kind,
      Range durationMs,
      FaultSchedule.Action start,
      FaultSchedule.Action heal)
      throws Exception {
    if (!lostNodes.contains(node)) {
      start(
          "process node-" + node,
          FaultScope.ofNode(node),
          durationMs,
          () -> {
            faults.record("node-" + node + " is " + kind);
            start.run();
          },
          () -> {
            if (!lostNodes.contains(node)) {
              heal.run();
            }
          });
    }
  }

  /** Takes a node and a worker away for good, at once; one of each per run. */
  void loseForGood(int node, int worker) throws Exception {
    if (lostNodes.isEmpty() && lostWorkers.isEmpty()) {
      faults.strike(
          "lost node-" + node + " and worker " + worker + " for good",
          FaultScope.ofNode(node),
          () -> {
            lostNodes.add(node);
            lostWorkers.add(worker);
            network.silenceControl(node);
            node(node).kill();
            platform().shutDownWorker(worker);
            checker.history().workerLost(SoakNetwork.workerId(worker));
          });
    }
  }

  void cut(NetworkCut cut, Range durationMs) throws Exception {
    start(cut.name(), cut.scope(), durationMs, cut::start, cut::heal);
  }

  void reboot(int worker, Range durationMs) throws Exception {
    if (!lostWorkers.contains(worker)) {
      start(
          "worker " + worker,
          FaultScope.ofOthers(),
          durationMs,
          () -> platform().shutDownWorker(worker),
          () -> {
            if (!lostWorkers.contains(worker)) {
              platform().bootWorker(worker);
            }
          });
    }
  }

  /** Makes a worker carry out starts late and without a response. */
  void delayStarts(int worker, Range durationMs) throws Exception {
    int delayMs = LATE_START_MS.draw(random);
    start(
        "starts late at worker " + worker,
        FaultScope.ofOthers(),
        durationMs,
        () -> platform().setWorkerStartDelay(worker, delayMs),
        () -> platform().setWorkerStartDelay(worker, 0));
  }

  private void start(
      String name,
      FaultScope scope,
      Range durationMs,
      FaultSchedule.Action start,
      FaultSchedule.Action heal)
      throws Exception {
    if (!faults.isActive(name)) {
      faults.start(name, scope, durationMs.draw(random), start, heal);
    }
  }

  private SimulatedPlatform platform() {
    return network.platform();
  }

  private SoakNode node(int node) {
    return network.nodes().get(node);
  }
}
