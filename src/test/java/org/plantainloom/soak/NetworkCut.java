package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;

/** A cut between an inner part of the network, in which the owner is, and the rest. */
final class NetworkCut {
  private final SoakNetwork network;
  private final Direction direction;
  private final boolean holdsBytes;
  private final String name;
  private final List<Path> paths = new ArrayList<>();
  private final List<Integer> silentWorkers = new ArrayList<>();
  private final Set<Integer> nodesWithoutStore = new HashSet<>();
  private final Set<FaultScope.Link> cutLinks = new HashSet<>();

  private record Path(FaultProxy proxy, FaultProxy.Mode mode) {}

  /** Direction in which nothing crosses the cut. */
  enum Direction {
    BOTH(FaultProxy.Mode.DROP_ALL, FaultProxy.Mode.HOLD_ALL),
    OUTWARD(FaultProxy.Mode.DROP_REQUESTS, FaultProxy.Mode.HOLD_REQUESTS),
    INWARD(FaultProxy.Mode.DROP_RESPONSES, FaultProxy.Mode.HOLD_RESPONSES);

    /** Modes of a path whose requests go outward. */
    private final FaultProxy.Mode dropping;

    private final FaultProxy.Mode holding;

    Direction(FaultProxy.Mode dropping, FaultProxy.Mode holding) {
      this.dropping = dropping;
      this.holding = holding;
    }

    private static Direction draw(Random random) {
      return random.nextBoolean() ? BOTH : random.nextBoolean() ? OUTWARD : INWARD;
    }

    private Direction reversed() {
      return this == BOTH ? BOTH : this == OUTWARD ? INWARD : OUTWARD;
    }

    private FaultProxy.Mode mode(boolean holdsBytes) {
      return holdsBytes ? holding : dropping;
    }
  }

  /** Which part of the network is cut off. */
  enum Shape {
    OWNER(2) {
      @Override
      void addPaths(NetworkCut cut, int owner, Random random) {
        cut.addBoundary(node -> node == owner, worker -> false, false);
      }
    },
    OWNER_FROM_STORE(1) {
      @Override
      void addPaths(NetworkCut cut, int owner, Random random) {
        cut.addOutward(cut.network.storeProxy(owner));
        cut.nodesWithoutStore.add(owner);
      }
    },
    OWNER_FROM_SOME_WORKERS(2) {
      @Override
      void addPaths(NetworkCut cut, int owner, Random random) {
        for (int worker = 0; worker < cut.network.workers(); worker++) {
          if (random.nextBoolean()) {
            cut.addWorker(owner, worker);
          }
        }
      }
    },
    /** Drawn only by runs that ask for it. */
    OWNER_FROM_ALL_WORKERS(0) {
      @Override
      void addPaths(NetworkCut cut, int owner, Random random) {
        for (int worker = 0; worker < cut.network.workers(); worker++) {
          cut.addWorker(owner, worker);
        }
      }
    },
    ZONE_OF_OWNER(5) {
      @Override
      void addPaths(NetworkCut cut, int owner, Random random) {
        int zone = cut.network.zoneOfNode(owner);
        cut.addBoundary(
            node -> cut.network.zoneOfNode(node) == zone,
            worker -> cut.network.zoneOfWorker(worker) == zone,
            zone == SoakNetwork.STORE_ZONE);
      }
    };

    /** How often the shape is drawn, relative to the others. */
    private final int weight;

    Shape(int weight) {
      this.weight = weight;
    }

    abstract void addPaths(NetworkCut cut, int owner, Random random);

    private static Shape draw(Random random) {
      int remaining = random.nextInt(Arrays.stream(values()).mapToInt(s -> s.weight).sum());
      for (Shape shape : values()) {
        remaining -= shape.weight;
        if (remaining < 0) {
          return shape;
        }
      }
      throw new IllegalStateException("no shape for the drawn weight");
    }
  }

  private NetworkCut(SoakNetwork network, Direction direction, boolean holdsBytes, String name) {
    this.network = network;
    this.direction = direction;
    this.holdsBytes = holdsBytes;
    this.name = name;
  }

  /** Draws a cut around a node. */
  static NetworkCut draw(SoakNetwork network, int owner, Random random) {
    return draw(network, Shape.draw(random), owner, random);
  }

  /** Draws a cut of a shape around a node. */
  static NetworkCut draw(SoakNetwork network, Shape shape, int owner, Random random) {
    Direction direction = Direction.draw(random);
    boolean holdsBytes = random.nextBoolean();
    String name =
        "cut " + shape + " node-" + owner + " " + direction + (holdsBytes ? " holding" : "");
    NetworkCut cut = new NetworkCut(network, direction, holdsBytes, name);
    shape.addPaths(cut, owner, random);
    return cut;
  }

  String name() {
    return name;
  }

  FaultScope scope() {
    return new FaultScope(false, nodesWithoutStore, holdsBytes ? cutLinks : Set.of());
  }

  void start() {
    paths.forEach(path -> path.proxy().addFault(path.mode()));
    silentWorkers.forEach(worker -> network.platform().setWorkerReachesStore(worker, false));
  }

  void heal() {
    paths.forEach(path -> path.proxy().removeFault(path.mode()));
    silentWorkers.forEach(worker -> network.platform().setWorkerReachesStore(worker, true));
  }

  private void addOutward(FaultProxy proxy) {
    paths.add(new Path(proxy, direction.mode(holdsBytes)));
  }

  private void addWorker(int node, int worker) {
    addOutward(network.workerProxy(node, worker));
    cutLinks.add(new FaultScope.Link(node, worker));
  }

  private void addInward(FaultProxy proxy) {
    paths.add(new Path(proxy, direction.reversed().mode(holdsBytes)));
  }

  private void addIfCrossing(FaultProxy proxy, boolean fromInner, boolean toInner) {
    if (fromInner && !toInner) {
      addOutward(proxy);
    } else if (!fromInner && toInner) {
      addInward(proxy);
    }
  }

  /** Adds all paths between the inner part and the rest. */
  private void addBoundary(
      IntPredicate isInnerNode, IntPredicate isInnerWorker, boolean isStoreInner) {
    for (int node = 0; node < network.nodes().size(); node++) {
      boolean fromInner = isInnerNode.test(node);
      addIfCrossing(network.storeProxy(node), fromInner, isStoreInner);
      if (fromInner != isStoreInner) {
        nodesWithoutStore.add(node);
      }
      for (int worker = 0; worker < network.workers(); worker++) {
        addIfCrossing(network.workerProxy(node, worker), fromInner, isInnerWorker.test(worker));
        if (fromInner != isInnerWorker.test(worker)) {
          cutLinks.add(new FaultScope.Link(node, worker));
        }
      }
      for (int other = 0; other < network.nodes().size(); other++) {
        addIfCrossing(network.controlProxy(node, other), fromInner, isInnerNode.test(other));
      }
    }
    for (int worker = 0; worker < network.workers(); worker++) {
      if (isInnerWorker.test(worker) != isStoreInner) {
        Direction blocked = isStoreInner ? direction.reversed() : direction;
        if (blocked != Direction.INWARD) {
          silentWorkers.add(worker);
        }
      }
    }
  }
}
