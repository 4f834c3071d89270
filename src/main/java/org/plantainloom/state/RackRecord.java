package org.plantainloom.state;

import java.util.List;
import java.util.Optional;

/**
 * All commitments on the workers of one rack. This record is the only place where capacity is
 * committed.
 *
 * @param rack the rack
 * @param owner the scheduler that may change the record
 * @param epoch increases with each change of owner
 * @param plannerEpoch highest planner epoch whose bindings were applied
 * @param renewalHorizonMs no lease on this rack is granted beyond this time, in milliseconds since
 *     the epoch
 * @param commitments the capacity committed to incarnations
 * @param releases ended incarnations that the planner has not acknowledged yet
 */
public record RackRecord(
    RackId rack,
    MemberId owner,
    long epoch,
    long plannerEpoch,
    long renewalHorizonMs,
    List<Commitment> commitments,
    List<Release> releases) {

  /** Creates the record with copies of its lists. */
  public RackRecord {
    commitments = List.copyOf(commitments);
    releases = List.copyOf(releases);
  }

  /** Returns the initial record of a rack, without commitments. */
  public static RackRecord empty(RackId rack, MemberId owner) {
    return new RackRecord(rack, owner, 1, 0, 0, List.of(), List.of());
  }

  /** Returns a copy that belongs to another owner under the next epoch. */
  public RackRecord ownedBy(MemberId nextOwner) {
    return new RackRecord(
        rack, nextOwner, epoch + 1, plannerEpoch, renewalHorizonMs, commitments, releases);
  }

  /** Returns the total of the resources committed on a worker. */
  public ResourceVector committedOn(WorkerId worker) {
    return commitments.stream()
        .filter(c -> c.worker().equals(worker))
        .map(c -> c.launch().size())
        .reduce(ResourceVector.ZERO, ResourceVector::plus);
  }

  /** Returns the commitment of an incarnation. */
  public Optional<Commitment> commitment(TaskRef ref) {
    return commitments.stream().filter(c -> c.ref().equals(ref)).findFirst();
  }

  /** Returns the release of an incarnation. */
  public Optional<Release> release(TaskRef ref) {
    return releases.stream().filter(r -> r.ref().equals(ref)).findFirst();
  }
}
