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

  /** Returns the route to the replica. */
  public Route route() {
    return route;
  }

  /** Returns the replica's locality relative to the gateway. */
  public Locality locality() {
    return locality;
  }

  Upstream upstream() {
    return upstream;
  }
}
