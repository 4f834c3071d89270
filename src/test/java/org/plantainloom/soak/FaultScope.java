package org.plantainloom.soak;

import java.util.Set;

/**
 * What a fault affects.
 *
 * @param store whether the store serves all nodes worse than usual
 * @param nodes nodes whose process does not run, or that have no path to the store in both
 *     directions
 * @param heldLinks paths from a node to a worker on which commands may arrive late
 * @param planned whether it is planned work, which no request may be lost to
 */
record FaultScope(boolean store, Set<Integer> nodes, Set<Link> heldLinks, boolean planned) {

  /** A path from a node to a worker. */
  record Link(int node, int worker) {}

  FaultScope(boolean store, Set<Integer> nodes, Set<Link> heldLinks) {
    this(store, nodes, heldLinks, false);
  }

  static FaultScope ofStore() {
    return new FaultScope(true, Set.of(), Set.of());
  }

  static FaultScope ofNode(int node) {
    return new FaultScope(false, Set.of(node), Set.of());
  }

  /** Returns the scope of a planned stop of a node, until it runs again. */
  static FaultScope ofPlannedStop(int node) {
    return new FaultScope(false, Set.of(node), Set.of(), true);
  }

  /** Returns the scope of a fault that leaves all nodes and their paths to the store alone. */
  static FaultScope ofOthers() {
    return new FaultScope(false, Set.of(), Set.of());
  }

  boolean affectsNode(int node) {
    return store || nodes.contains(node);
  }
}
