package org.plantainloom.coordination.rack;

import java.util.List;
import org.plantainloom.state.RackId;
import org.plantainloom.state.Release;
import org.plantainloom.state.WorkerId;

/**
 * What a rack's owner tells the planner.
 *
 * @param rack the rack
 * @param rackEpoch epoch of the ownership
 * @param commitments persisted commitments
 * @param releases persisted releases that await acknowledgement
 * @param unreachable workers that do not answer
 */
public record RackStatus(
    RackId rack,
    long rackEpoch,
    List<CommitmentStatus> commitments,
    List<Release> releases,
    List<WorkerId> unreachable) {

  /** Creates the status with copies of its lists. */
  public RackStatus {
    commitments = List.copyOf(commitments);
    releases = List.copyOf(releases);
    unreachable = List.copyOf(unreachable);
  }
}
