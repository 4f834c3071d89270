package org.plantainloom.protocol.message;

import java.util.List;
import java.util.Map;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.StatusVersion;
import org.plantainloom.state.RackId;

/**
 * The planner's plans for the racks of one owner.
 *
 * @param plans a plan for each rack of which something is wanted
 * @param known how much the planner knows of each rack's status
 */
public record ExchangeRequest(List<RackPlan> plans, Map<RackId, StatusVersion> known) {
  /** Creates the message with copies of its collections. */
  public ExchangeRequest {
    plans = List.copyOf(plans);
    known = Map.copyOf(known);
  }
}
