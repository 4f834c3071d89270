package org.plantainloom.coordination.rack;

import java.util.Optional;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RunState;

/**
 * A commitment together with the last reported state of its task.
 *
 * @param commitment the persisted commitment
 * @param state state last reported by the worker; empty until the task is started
 */
public record CommitmentStatus(Commitment commitment, Optional<RunState> state) {
  // Checkpoints advance constantly and do not affect planning, so a new checkpoint alone is not a
  // change.
  boolean differsFrom(CommitmentStatus other) {
    return other == null
        || !state.equals(other.state)
        || !commitment.withCheckpoint(0).equals(other.commitment.withCheckpoint(0));
  }
}
