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
 * others. Among replicas of the same locality, the better of two random ones by requests in flight
 * and recent latency is chosen (Mitzenmacher, "The Power of Two Choices", 2001). All methods are
 * thread-safe.
 */
public final class Router {
  private final ZoneName zone;
  private final String region;
  private final SlotSharingPolicy slotSharing;
  private final RestorableUniformRandomProvider random;
  private final Map<TaskRef, Upstream> upstreams = new HashMap<>();
  private Map<String, List<Upstream>> byService = Map.of();
  private RouteTable table = RouteTable.empty();

  /**
   * Creates a router without routes.
   *
   * @param zone availability zone of the gateway
   * @param region region of the gateway
   * @param slotSharing how gateways share the workers' slots
   * @param seed seed of the random number generator
   */
  public Router(ZoneName zone, String region, SlotSharingPolicy slotSharing, long seed) {
    this.zone = zone;
    this.region = region;
    this.slotSharing = slotSharing;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Replaces the table if the given one is newer; returns whether it was. */
  public synchronized boolean updateRoutes(RouteTable newTable) {
    if (!newTable.isNewerThan(table)) {
      return false;
    }
    table = newTable;
    Map<String, List<Upstream>> next = new HashMap<>();
    Set<TaskRef> present = new HashSet<>();
    for (Route route : newTable.routes()) {
      Upstream upstream = upstreams.computeIfAbsent(route.ref(), r -> new Upstream(route));
      upstream.updateRoute(route);
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

  /** Returns whether there is any route to the service. */
  public synchronized boolean hasRoutes(String service) {
    return byService.containsKey(service);
  }

  /**
   * Chooses a replica and counts the attempt among its requests in flight.
   *
   * @param service the service as {@code team/name}
   * @param tried replicas that earlier attempts of the request were sent to
   * @return the choice; empty if every replica is busy, ejected or already tried
   */
  public synchronized Optional<RouteChoice> choose(
      String service, Collection<TaskRef> tried, long nowMs) {
    List<Upstream> all = byService.getOrDefault(service, List.of());
    for (Locality locality : Locality.values()) {
      List<Upstream> candidates = new ArrayList<>();
      for (Upstream upstream : all) {
        if (locality == localityOf(upstream.route()) && isAvailable(upstream, tried, nowMs)) {
          candidates.add(upstream);
        }
      }
      if (!candidates.isEmpty()) {
        Upstream chosen = betterOfTwo(candidates);
        chosen.recordSent();
        return Optional.of(new RouteChoice(chosen.route(), locality, chosen));
      }
    }
    return Optional.empty();
  }

  private boolean isAvailable(Upstream upstream, Collection<TaskRef> tried, long nowMs) {
    return !upstream.isEjected(nowMs)
        && !tried.contains(upstream.route().ref())
        && slotSharing.admits(upstream.slotUse(table.gateways(), nowMs));
  }

  private Locality localityOf(Route route) {
    if (route.zone().equals(zone)) {
      return Locality.SAME_ZONE;
    }
    return route.region().equals(region) ? Locality.SAME_REGION : Locality.OTHER_REGION;
  }

  private Upstream betterOfTwo(List<Upstream> candidates) {
    Upstream first = candidates.get(random.nextInt(candidates.size()));
    Upstream second = candidates.get(random.nextInt(candidates.size()));
    return second.cost() < first.cost() ? second : first;
  }

  /** Records the end of an attempt. */
  public synchronized void completeAttempt(
      RouteChoice choice, AttemptFeedback feedback, long nowMs) {
    choice.upstream().recordEnd(feedback, nowMs);
  }
}
