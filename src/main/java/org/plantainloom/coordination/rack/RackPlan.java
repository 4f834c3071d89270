package org.plantainloom.coordination.rack;

import java.util.List;
import org.plantainloom.state.RackId;
import org.plantainloom.state.TaskRef;

/**
 * All that the planner wants of one rack at the moment; each plan replaces the one before.
 *
 * @param rack the rack
 * @param plannerEpoch epoch of the sender
 * @param rackEpoch epoch of the ownership it is meant for
 * @param sequence number that grows with each plan of the same sender
 * @param bindings incarnations to commit and start
 * @param stops incarnations to checkpoint and stop
 * @param acknowledged releases that the planner has persisted
 */
public record RackPlan(
    RackId rack,
    long plannerEpoch,
    long rackEpoch,
    long sequence,
    List<Binding> bindings,
    List<TaskRef> stops,
    List<TaskRef> acknowledged) {

  /** Creates the plan with copies of its lists. */
  public RackPlan {
    bindings = List.copyOf(bindings);
    stops = List.copyOf(stops);
    acknowledged = List.copyOf(acknowledged);
  }

  /** Returns whether the plan asks for anything. */
  public boolean isEmpty() {
    return bindings.isEmpty() && stops.isEmpty() && acknowledged.isEmpty();
  }
}
