package org.plantainloom.coordination.routing;

import org.plantainloom.coordination.plan.Route;

/** The replica chosen for one attempt. */
public final class RouteChoice {
  private final Route route;
  private final Locality locality;
  private final Upstream upstream;

  RouteChoice(Route route, Locality locality, Upstream upstream) {
    this.route = route;
    this.locality = locality;
    this.upstream = upstream;
  }

  /** Returns the route to take. */
  public Route route() {
    return route;
  }

  /** Returns how far away the replica is. */
  public Locality locality() {
    return locality;
  }

  Upstream upstream() {
    return upstream;
  }
}
