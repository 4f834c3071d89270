package org.plantainloom.coordination.rack;

import java.util.Optional;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.RunState;

/**
 * A commitment and what is known of it.
 *
 * @param commitment the persisted commitment
 * @param state what its worker last said; empty while it is not started
 * @param cpuMillis processor use last reported, in thousandths of a core
 */
public record CommitmentStatus(Commitment commitment, Optional<RunState> state, int cpuMillis) {}
