package org.plantainloom.protocol.message;

import java.util.List;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.state.RackId;

/**
 * A rack owner's reply to the planner.
 *
 * @param owned all racks it owns
 * @param news statuses that the planner does not know yet
 */
public record ExchangeReply(List<RackId> owned, List<RackStatus> news) {
  /** Creates the message with copies of its lists. */
  public ExchangeReply {
    owned = List.copyOf(owned);
    news = List.copyOf(news);
  }
}
