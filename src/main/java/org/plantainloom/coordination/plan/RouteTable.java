package org.plantainloom.coordination.plan;

import java.util.List;

/**
 * All service replicas that take requests.
 *
 * @param plannerEpoch epoch of the planner that built the table
 * @param version number that grows with each change under the same epoch
 * @param gateways number of gateways that share the workers' slots
 * @param routes the replicas
 */
public record RouteTable(long plannerEpoch, long version, int gateways, List<Route> routes) {
  /** Creates the table with a copy of its list. */
  public RouteTable {
    routes = List.copyOf(routes);
  }

  /** Returns the table that is in force until the first one is received. */
  public static RouteTable empty() {
    return new RouteTable(0, 0, 1, List.of());
  }

  /** Returns whether this table replaces the other. */
  public boolean isNewerThan(RouteTable other) {
    return plannerEpoch > other.plannerEpoch
        || (plannerEpoch == other.plannerEpoch && version > other.version);
  }
}
