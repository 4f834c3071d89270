package org.plantainloom.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The configuration in force: the version of each team's document and the zones taken out.
 *
 * @param revision increases with each accepted change
 * @param teams version of each team's document in force
 * @param zonesOut availability zones in which no task may start
 * @param changes ids of the latest accepted changes, newest last; a retried change is recognised by
 *     its id
 */
public record ConfigIndex(
    long revision,
    SortedMap<TeamId, String> teams,
    SortedSet<ZoneName> zonesOut,
    List<String> changes) {
  private static final int MAX_CHANGE_IDS = 64;

  /** Creates the index with copies of its collections. */
  public ConfigIndex {
    teams = Collections.unmodifiableSortedMap(new TreeMap<>(teams));
    zonesOut = Collections.unmodifiableSortedSet(new TreeSet<>(zonesOut));
    changes = List.copyOf(changes);
  }

  /** Returns the index before the first change. */
  public static ConfigIndex empty() {
    return new ConfigIndex(0, new TreeMap<>(), new TreeSet<>(), List.of());
  }

  /** Returns whether the change is among the latest accepted ones. */
  public boolean contains(String changeId) {
    return changes.contains(changeId);
  }

  /** Returns the next index, in which the team's document has the new version. */
  public ConfigIndex withTeam(TeamId team, String version, String changeId) {
    SortedMap<TeamId, String> next = new TreeMap<>(teams);
    next.put(team, version);
    return new ConfigIndex(revision + 1, next, zonesOut, changesWith(changeId));
  }

  /** Returns the next index, in which the zone is taken out or back in service. */
  public ConfigIndex withZone(ZoneName zone, boolean out, String changeId) {
    SortedSet<ZoneName> next = new TreeSet<>(zonesOut);
    if (out) {
      next.add(zone);
    } else {
      next.remove(zone);
    }
    return new ConfigIndex(revision + 1, teams, next, changesWith(changeId));
  }

  private List<String> changesWith(String changeId) {
    List<String> next = new ArrayList<>(changes);
    next.add(changeId);
    int surplus = Math.max(0, next.size() - MAX_CHANGE_IDS);
    return next.subList(surplus, next.size());
  }
}
