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

/** Assigns versions to the changes of a rack's status, so that only new changes have to be sent. */
final class StatusChangeTracker {
  private final Map<TaskRef, CommitmentStatus> commitments = new TreeMap<>();
  private final Map<TaskRef, Long> changedAtVersion = new HashMap<>();
  private final Map<TaskRef, Long> removedAtVersion = new TreeMap<>();
  private List<Release> releases = List.of();
  private List<WorkerId> unreachable = List.of();
  private long version = 1;
  private long oldestBase = 1;

  /** Starts a new ownership; versions restart at 1. */
  void reset() {
    commitments.clear();
    changedAtVersion.clear();
    removedAtVersion.clear();
    releases = List.of();
    unreachable = List.of();
    version = 1;
    oldestBase = 1;
  }

  /** Updates the current status and assigns the next version to its changes. */
  void update(
      List<CommitmentStatus> current, List<Release> newReleases, List<WorkerId> newUnreachable) {
    long next = version + 1;
    boolean changed = !releases.equals(newReleases) || !unreachable.equals(newUnreachable);
    Set<TaskRef> removed = new HashSet<>(commitments.keySet());
    for (CommitmentStatus status : current) {
      TaskRef ref = status.commitment().ref();
      removed.remove(ref);
      if (status.differsFrom(commitments.get(ref))) {
        changedAtVersion.put(ref, next);
        changed = true;
      }
      commitments.put(ref, status);
    }
    for (TaskRef ref : removed) {
      commitments.remove(ref);
      changedAtVersion.remove(ref);
      removedAtVersion.put(ref, next);
      changed = true;
    }
    releases = newReleases;
    unreachable = newUnreachable;
    version = changed ? next : version;
  }

  /** Returns the changes since a known version; empty if there are none. */
  Optional<RackStatus> since(RackId rack, long epoch, StatusVersion known) {
    boolean canSendChanges = known.rackEpoch() == epoch && known.version() >= oldestBase;
    if (canSendChanges && known.version() == version) {
      return Optional.empty();
    }
    long base = canSendChanges ? known.version() : 0;
    List<CommitmentStatus> changes = new ArrayList<>();
    for (CommitmentStatus status : commitments.values()) {
      if (base == 0 || changedAtVersion.get(status.commitment().ref()) > base) {
        changes.add(status);
      }
    }
    // The planner already has the changes up to the base, so it never requests them again.
    removedAtVersion.values().removeIf(at -> at <= base);
    oldestBase = Math.max(oldestBase, base);
    List<TaskRef> removed = base == 0 ? List.of() : List.copyOf(removedAtVersion.keySet());
    return Optional.of(
        new RackStatus(rack, epoch, base, version, changes, removed, releases, unreachable));
  }
}
