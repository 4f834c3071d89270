package org.plantainloom.coordination.rack;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerId;

/**
 * Status that a rack's owner reports to the planner: complete, or the changes since a base version.
 *
 * @param rack the rack
 * @param rackEpoch epoch of the ownership
 * @param base version that the changes are relative to; 0 if the status is complete
 * @param version version of the status, from 1
 * @param commitments new or changed persisted commitments
 * @param removed incarnations that are no longer committed
 * @param releases all persisted releases that await acknowledgement
 * @param unreachable all workers that do not respond
 */
public record RackStatus(
    RackId rack,
    long rackEpoch,
    long base,
    long version,
    List<CommitmentStatus> commitments,
    List<TaskRef> removed,
    List<Release> releases,
    List<WorkerId> unreachable) {

  /** Creates the status with copies of its lists. */
  public RackStatus {
    commitments = List.copyOf(commitments);
    removed = List.copyOf(removed);
    releases = List.copyOf(releases);
    unreachable = List.copyOf(unreachable);
  }

  /** Returns the version that the planner has after applying this status. */
  public StatusVersion statusVersion() {
    return new StatusVersion(rackEpoch, version);
  }

  /** Returns whether this status is newer than the known version and can be applied to it. */
  public boolean appliesTo(StatusVersion known) {
    boolean newer = rackEpoch > known.rackEpoch() || version > known.version();
    boolean buildsOnKnown = rackEpoch == known.rackEpoch() && base == known.version();
    return rackEpoch >= known.rackEpoch() && newer && (base == 0 || buildsOnKnown);
  }

  /** Returns the complete status that results from applying these changes to an earlier one. */
  public RackStatus applyTo(RackStatus earlier) {
    if (base == 0) {
      return this;
    }
    Map<TaskRef, CommitmentStatus> merged = new TreeMap<>();
    earlier.commitments.forEach(c -> merged.put(c.commitment().ref(), c));
    removed.forEach(merged::remove);
    commitments.forEach(c -> merged.put(c.commitment().ref(), c));
    return new RackStatus(
        rack,
        rackEpoch,
        0,
        version,
        List.copyOf(merged.values()),
        List.of(),
        releases,
        unreachable);
  }
}
