package org.plantainloom.coordination.membership;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.RackId;

/**
 * Assigns racks to schedulers by rendezvous hashing with bounded load.
 *
 * <p>Each rack is assigned to the scheduler with the highest hash of both ids (Thaler and
 * Ravishankar, 1998) among those below the load bound. Every process computes the same result from
 * the same members, and few racks move when a member joins or leaves.
 */
public final class RackAssignment {
  private RackAssignment() {}

  /** Returns the scheduler that should own each rack; empty if there are no schedulers. */
  public static SortedMap<RackId, MemberId> assign(
      Collection<RackId> racks, Collection<MemberId> schedulers) {
    SortedMap<RackId, MemberId> assignment = new TreeMap<>();
    if (schedulers.isEmpty()) {
      return assignment;
    }
    int maxRacks = (racks.size() + schedulers.size() - 1) / schedulers.size();
    Map<MemberId, Integer> load = new HashMap<>();
    for (RackId rack : new TreeSet<>(racks)) {
      MemberId owner = highestRanked(rack.value(), schedulers, load, maxRacks);
      assignment.put(rack, owner);
      load.merge(owner, 1, Integer::sum);
    }
    return assignment;
  }

  /** Returns the scheduler preferred for a role that a single scheduler holds. */
  public static Optional<MemberId> preferred(String role, Collection<MemberId> schedulers) {
    return schedulers.isEmpty()
        ? Optional.empty()
        : Optional.of(highestRanked(role, schedulers, Map.of(), 1));
  }

  private static MemberId highestRanked(
      String key, Collection<MemberId> schedulers, Map<MemberId, Integer> load, int maxRacks) {
    MemberId best = null;
    long bestWeight = Long.MIN_VALUE;
    for (MemberId member : new TreeSet<>(schedulers)) {
      long weight = weight(key, member);
      boolean hasRoom = load.getOrDefault(member, 0) < maxRacks;
      if (hasRoom && (best == null || weight > bestWeight)) {
        best = member;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static long weight(String key, MemberId member) {
    return MurmurHash3.hash128x64((key + "@" + member).getBytes(UTF_8))[0];
  }
}
