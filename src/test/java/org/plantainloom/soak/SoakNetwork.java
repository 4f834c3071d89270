package org.plantainloom.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.platform.standin.StoreView;
import org.plantainloom.platform.standin.WorkerLayout;

/**
 * Nodes and workers in availability zones, with a proxy for each path from a node to the store, to
 * a worker and to another node. The store stands in the first zone.
 */
final class SoakNetwork implements AutoCloseable {
  static final int STORE_ZONE = 0;

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String OWNER_KEY = "pl/owner";
  private static final int NODES = 4;
  private static final WorkerLayout LAYOUT = new WorkerLayout(6, 3, 300, true);

  private final InvariantChecker checker;
  private final Path directory;
  private final WorkerLayout layout;
  private final SimulatedPlatform platform;

  /** Callers read it while nodes are added. */
  private final List<SoakNode> nodes = new CopyOnWriteArrayList<>();

  private final List<StoreView> storeViews = new ArrayList<>();

  /** Proxies to workers, by node and worker. */
  private final List<List<FaultProxy>> workerProxies = new ArrayList<>();

  /** Proxies to control addresses, by node and other node; that of a node to itself is unused. */
  private final List<List<FaultProxy>> controlProxies = new ArrayList<>();

  /** Proxies to control addresses that nodes had before. */
  private final List<FaultProxy> formerProxies = new ArrayList<>();

  private SoakNetwork(Path directory, WorkerLayout layout, InvariantChecker checker) {
    this.directory = directory;
    this.layout = layout;
    this.checker = checker;
    this.platform = SimulatedPlatform.start(layout, checker);
  }

  /** Starts the platform, the proxies and the processes of the nodes. */
  static SoakNetwork start(Path directory, InvariantChecker checker) throws IOException {
    return start(directory, NODES, LAYOUT, checker);
  }

  /** Starts the platform, the proxies and the processes of a number of nodes. */
  static SoakNetwork start(
      Path directory, int nodeCount, WorkerLayout layout, InvariantChecker checker)
      throws IOException {
    SoakNetwork network = new SoakNetwork(directory, layout, checker);
    network.platform.configure(1);
    for (int i = 0; i < nodeCount; i++) {
      network.createNode();
    }
    for (StoreView view : network.storeViews) {
      network.startProxies(view);
    }
    for (SoakNode node : network.nodes) {
      node.start();
    }
    return network;
  }

  private SoakNode createNode() throws IOException {
    StoreView view = platform.openStoreView();
    storeViews.add(view);
    SoakNode node = new SoakNode("node-" + nodes.size(), directory, port(view.address()));
    nodes.add(node);
    return node;
  }

  /** Starts a further node at an address of its own, such as in place of one that is gone. */
  void addNode() throws IOException {
    SoakNode added = createNode();
    for (int node = 0; node < controlProxies.size(); node++) {
      controlProxies.get(node).add(startProxy(storeViews.get(node), added.controlAddress));
    }
    startProxies(storeViews.get(storeViews.size() - 1));
    added.start();
  }

  private void startProxies(StoreView view) throws IOException {
    List<FaultProxy> toWorkers = new ArrayList<>();
    for (int worker = 0; worker < layout.workers(); worker++) {
      toWorkers.add(startProxy(view, platform.workerAddress(worker)));
    }
    workerProxies.add(toWorkers);
    List<FaultProxy> toNodes = new ArrayList<>();
    for (SoakNode node : nodes) {
      toNodes.add(startProxy(view, node.controlAddress));
    }
    controlProxies.add(toNodes);
  }

  private static FaultProxy startProxy(StoreView view, String address) throws IOException {
    FaultProxy proxy = FaultProxy.start(port(address));
    view.substitute(address, proxy.address());
    return proxy;
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  /** Returns the id that a worker has in the store and in reports of its runs. */
  static String workerId(int worker) {
    return "i-" + worker;
  }

  /** Returns the number of the worker with an id. */
  static int workerNumber(String workerId) {
    return Integer.parseInt(workerId.substring(workerId.indexOf('-') + 1));
  }

  /** Removes the owner's key, so that any node may become the owner. */
  void removeOwnerKey() {
    platform.remove(OWNER_KEY);
  }

  /** Makes a node silent for the others, as a machine without power is. */
  void silenceControl(int lostNode) {
    for (int node = 0; node < nodes.size(); node++) {
      controlProxy(node, lostNode).addFault(FaultProxy.Mode.DROP_ALL);
    }
  }

  /** Leaves connections to a node open without a response, or resets those left open. */
  void setControlSilent(int lostNode, boolean silent) {
    for (int node = 0; node < nodes.size(); node++) {
      controlProxy(node, lostNode).setTargetSilent(silent);
    }
  }

  /** Leaves connections to a worker open without a response, or resets those left open. */
  void setWorkerSilent(int worker, boolean silent) {
    for (int node = 0; node < nodes.size(); node++) {
      workerProxy(node, worker).setTargetSilent(silent);
    }
  }

  /** Gives other addresses to a node that does not run, as a machine in its place has. */
  void relocate(int node) throws IOException {
    SoakNode former = nodes.get(node);
    former.close();
    SoakNode moved = new SoakNode(former.name, directory, port(storeViews.get(node).address()));
    nodes.set(node, moved);
    for (int other = 0; other < nodes.size(); other++) {
      FaultProxy proxy = startProxy(storeViews.get(other), moved.controlAddress);
      formerProxies.add(controlProxies.get(other).set(node, proxy));
    }
  }

  SimulatedPlatform platform() {
    return platform;
  }

  List<SoakNode> nodes() {
    return nodes;
  }

  int workers() {
    return layout.workers();
  }

  int zoneOfNode(int node) {
    return (node + 1) % layout.zones();
  }

  int zoneOfWorker(int worker) {
    return layout.zoneOf(worker);
  }

  FaultProxy storeProxy(int node) {
    return nodes.get(node).storeProxy;
  }

  StoreView storeView(int node) {
    return storeViews.get(node);
  }

  FaultProxy workerProxy(int node, int worker) {
    return workerProxies.get(node).get(worker);
  }

  FaultProxy controlProxy(int node, int otherNode) {
    return controlProxies.get(node).get(otherNode);
  }

  /** Returns the node that the owner's key names, and tells the checker its term. */
  OptionalInt owner() throws IOException {
    String stored = platform.storedValue(OWNER_KEY);
    if (stored.isEmpty()) {
      return OptionalInt.empty();
    }
    JsonNode owner = JSON.readTree(stored);
    String name = owner.path("node").asText();
    checker.registerOwner(owner.path("term").asLong(), name);
    return IntStream.range(0, nodes.size()).filter(i -> nodes.get(i).name.equals(name)).findFirst();
  }

  @Override
  public void close() throws IOException {
    for (SoakNode node : nodes) {
      node.close();
    }
    for (List<FaultProxy> proxies : List.copyOf(workerProxies)) {
      for (FaultProxy proxy : proxies) {
        proxy.close();
      }
    }
    for (FaultProxy proxy : formerProxies) {
      proxy.close();
    }
    for (List<FaultProxy> proxies : List.copyOf(controlProxies)) {
      for (FaultProxy proxy : proxies) {
        proxy.close();
      }
    }
    platform.close();
  }
}
