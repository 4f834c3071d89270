package org.plantainloom.protocol.message;

import java.util.List;
import org.plantainloom.coordination.rack.RackPlan;

/**
 * The planner's plans for all racks of one owner.
 *
 * @param plans a plan for each rack
 */
public record ExchangeRequest(List<RackPlan> plans) {
  /** Creates the message with copies of its lists. */
  public ExchangeRequest {
    plans = List.copyOf(plans);
  }
}
