package org.plantainloom.coordination.rack;

import java.util.Optional;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RunState;

/**
 * A commitment and what is known of it.
 *
 * @param commitment the persisted commitment
 * @param state what its worker last said; empty while it is not started
 */
public record CommitmentStatus(Commitment commitment, Optional<RunState> state) {
  // Checkpoints move all the time and decide nothing in the queue, so they alone are no change.
  boolean differsFrom(CommitmentStatus other) {
    return other == null
        || !state.equals(other.state)
        || !commitment.withCheckpoint(0).equals(other.commitment.withCheckpoint(0));
  }
}
