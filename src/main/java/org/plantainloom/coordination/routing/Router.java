package org.plantainloom.coordination.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.RestorableUniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainloom.coordination.plan.Route;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.ZoneName;

/**
 * Chooses the replica for each attempt.
 *
 * <p>Replicas in the gateway's own availability zone come first, then those in its region, then the
 * others; among equals the better of two random ones is taken (Mitzenmacher, "The Power of Two
 * Choices", 2001) by requests in flight and recent latency. All methods may be called by several
 * threads.
 */
public final class Router {
  private final ZoneName zone;
  private final String region;
  private final SlotSharingPolicy limits;
  private final RestorableUniformRandomProvider random;
  private final Map<TaskRef, Upstream> upstreams = new HashMap<>();
  private Map<String, List<Upstream>> byService = Map.of();
  private RouteTable table = RouteTable.empty();

  /**
   * Creates a router without routes.
   *
   * @param zone availability zone of the gateway
   * @param region region of the gateway
   * @param limits how the workers' slots are shared
   * @param seed seed of the random choice
   */
  public Router(ZoneName zone, String region, SlotSharingPolicy limits, long seed) {
    this.zone = zone;
    this.region = region;
    this.limits = limits;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Takes a newer table; returns whether it was newer. */
  public synchronized boolean updateRoutes(RouteTable newTable) {
    if (!newTable.isNewerThan(table)) {
      return false;
    }
    table = newTable;
    Map<String, List<Upstream>> next = new HashMap<>();
    Set<TaskRef> present = new HashSet<>();
    for (Route route : newTable.routes()) {
      Upstream upstream = upstreams.computeIfAbsent(route.ref(), r -> new Upstream(route));
      upstream.reroute(route);
      present.add(route.ref());
      next.computeIfAbsent(route.service(), s -> new ArrayList<>()).add(upstream);
    }
    upstreams.keySet().retainAll(present);
    byService = next;
    return true;
  }

  /** Returns the table in force. */
  public synchronized RouteTable table() {
    return table;
  }

  /** Returns whether any route leads to the service. */
  public synchronized boolean hasRoutes(String service) {
    return byService.containsKey(service);
  }

  /**
   * Chooses a replica and counts the attempt as in flight there.
   *
   * @param service the service as {@code team/name}
   * @param tried replicas that earlier attempts of the request went to
   * @return the choice, or empty if no replica has a free slot
   */
  public synchronized Optional<RouteChoice> choose(
      String service, Collection<TaskRef> tried, long nowMs) {
    List<Upstream> all = byService.getOrDefault(service, List.of());
    for (Locality locality : Locality.values()) {
      List<Upstream> open = new ArrayList<>();
      for (Upstream upstream : all) {
        if (locality == localityOf(upstream.route()) && isOpen(upstream, tried, nowMs)) {
          open.add(upstream);
        }
      }
      if (!open.isEmpty()) {
        Upstream chosen = betterOfTwo(open);
        chosen.sent();
        return Optional.of(new RouteChoice(chosen.route(), locality, chosen));
      }
    }
    return Optional.empty();
  }

  private boolean isOpen(Upstream upstream, Collection<TaskRef> tried, long nowMs) {
    return !upstream.isEjected(nowMs)
        && !tried.contains(upstream.route().ref())
        && limits.admits(upstream.use(table.gateways(), nowMs));
  }

  private Locality localityOf(Route route) {
    if (route.zone().equals(zone)) {
      return Locality.SAME_ZONE;
    }
    return route.region().equals(region) ? Locality.SAME_REGION : Locality.OTHER_REGION;
  }

  private Upstream betterOfTwo(List<Upstream> open) {
    Upstream first = open.get(random.nextInt(open.size()));
    Upstream second = open.get(random.nextInt(open.size()));
    return second.cost() < first.cost() ? second : first;
  }

  /** Takes note that an attempt ended. */
  public synchronized void completeAttempt(
      RouteChoice choice, AttemptFeedback feedback, long nowMs) {
    choice.upstream().ended(feedback, nowMs);
  }
}
