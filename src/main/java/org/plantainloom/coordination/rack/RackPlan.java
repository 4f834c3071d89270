package org.plantainloom.coordination.rack;

import java.util.List;
import org.plantainloom.state.RackId;
import org.plantainloom.state.TaskRef;

/**
 * Everything the planner currently requests of one rack; each plan replaces the previous one.
 *
 * @param rack the rack
 * @param plannerEpoch epoch of the planner that sent the plan
 * @param rackEpoch epoch of the rack ownership that the plan is addressed to
 * @param sequence number that grows with each plan of the same planner
 * @param bindings incarnations to commit and start
 * @param stops incarnations to checkpoint and stop
 * @param acknowledged incarnations whose release the planner has persisted in the team's tasks
 *     document; the rack may drop the release
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

  /** Returns whether the plan requests nothing. */
  public boolean isEmpty() {
    return bindings.isEmpty() && stops.isEmpty() && acknowledged.isEmpty();
  }
}
