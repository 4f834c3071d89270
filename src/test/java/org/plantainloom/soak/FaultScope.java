package org.plantainloom.soak;

import java.util.Set;

/**
 * What a fault affects.
 *
 * @param store whether the store serves all nodes worse than usual
 * @param nodes nodes whose process does not run, or that have no path to the store in both
 *     directions
 * @param heldLinks paths from a node to a worker on which commands may arrive late
 */
record FaultScope(boolean store, Set<Integer> nodes, Set<Link> heldLinks) {

  /** A path from a node to a worker. */
  record Link(int node, int worker) {}

  static FaultScope ofStore() {
    return new FaultScope(true, Set.of(), Set.of());
  }

  static FaultScope ofNode(int node) {
    return new FaultScope(false, Set.of(node), Set.of());
  }

  /** Returns the scope of a fault that leaves all nodes and their paths to the store alone. */
  static FaultScope ofOthers() {
    return new FaultScope(false, Set.of(), Set.of());
  }

  boolean affectsNode(int node) {
    return store || nodes.contains(node);
  }
}
