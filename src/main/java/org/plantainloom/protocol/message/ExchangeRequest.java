package org.plantainloom.protocol.message;

import java.util.List;
import java.util.Map;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.StatusVersion;
import org.plantainloom.state.RackId;

/**
 * The planner's request to a rack owner.
 *
 * @param plans a plan for each rack that the planner wants changed
 * @param known the version of each rack's status that the planner has
 */
public record ExchangeRequest(List<RackPlan> plans, Map<RackId, StatusVersion> known) {
  /** Creates the message with copies of its collections. */
  public ExchangeRequest {
    plans = List.copyOf(plans);
    known = Map.copyOf(known);
  }
}
