package org.plantainloom.coordination.rack;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerId;

/**
 * What a rack's owner tells the planner: the whole status, or the changes since a known version.
 *
 * @param rack the rack
 * @param rackEpoch epoch of the ownership
 * @param base version that the changes build on; 0 if this is the whole status
 * @param version version of the status, from 1
 * @param commitments persisted commitments that are new or changed
 * @param removed incarnations that are committed no more
 * @param releases all persisted releases that await acknowledgement
 * @param unreachable all workers that do not answer
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

  /** Returns how much is known once this status was taken. */
  public StatusVersion statusVersion() {
    return new StatusVersion(rackEpoch, version);
  }

  /** Returns whether the status can be taken by somebody who knows that much. */
  public boolean appliesTo(StatusVersion known) {
    boolean newer = rackEpoch > known.rackEpoch() || version > known.version();
    boolean builds = rackEpoch == known.rackEpoch() && base == known.version();
    return rackEpoch >= known.rackEpoch() && newer && (base == 0 || builds);
  }

  /** Returns the whole status after these changes to an earlier whole status. */
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
