package org.plantainloom.coordination.rack;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerId;

/** Numbers the changes of a rack's status, so that only what is new has to be told. */
final class StatusPublisher {
  private final Map<TaskRef, CommitmentStatus> commitments = new TreeMap<>();
  private final Map<TaskRef, Long> changedAt = new HashMap<>();
  private final Map<TaskRef, Long> removedAt = new TreeMap<>();
  private List<Release> releases = List.of();
  private List<WorkerId> unreachable = List.of();
  private long version = 1;
  private long oldestBase = 1;

  /** Starts a new ownership; versions begin anew. */
  void reset() {
    commitments.clear();
    changedAt.clear();
    removedAt.clear();
    releases = List.of();
    unreachable = List.of();
    version = 1;
    oldestBase = 1;
  }

  /** Takes the current status and numbers its changes. */
  void update(
      List<CommitmentStatus> current, List<Release> newReleases, List<WorkerId> newUnreachable) {
    long next = version + 1;
    boolean changed = !releases.equals(newReleases) || !unreachable.equals(newUnreachable);
    Set<TaskRef> gone = new HashSet<>(commitments.keySet());
    for (CommitmentStatus status : current) {
      TaskRef ref = status.commitment().ref();
      gone.remove(ref);
      if (status.differsFrom(commitments.get(ref))) {
        changedAt.put(ref, next);
        changed = true;
      }
      commitments.put(ref, status);
    }
    for (TaskRef ref : gone) {
      commitments.remove(ref);
      changedAt.remove(ref);
      removedAt.put(ref, next);
      changed = true;
    }
    releases = newReleases;
    unreachable = newUnreachable;
    version = changed ? next : version;
  }

  /** Returns what is new to somebody who knows that much; empty if nothing is. */
  Optional<RackStatus> since(RackId rack, long epoch, StatusVersion known) {
    boolean builds = known.rackEpoch() == epoch && known.version() >= oldestBase;
    if (builds && known.version() == version) {
      return Optional.empty();
    }
    long base = builds ? known.version() : 0;
    List<CommitmentStatus> news = new ArrayList<>();
    for (CommitmentStatus status : commitments.values()) {
      if (base == 0 || changedAt.get(status.commitment().ref()) > base) {
        news.add(status);
      }
    }
    // What the planner knows it will never ask for again.
    removedAt.values().removeIf(at -> at <= base);
    oldestBase = Math.max(oldestBase, base);
    List<TaskRef> removed = base == 0 ? List.of() : List.copyOf(removedAt.keySet());
    return Optional.of(
        new RackStatus(rack, epoch, base, version, news, removed, releases, unreachable));
  }
}
