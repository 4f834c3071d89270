package org.plantainloom.protocol.message;

import java.util.List;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.state.RackId;

/**
 * What an owner says of its racks.
 *
 * @param owned all racks it owns
 * @param news what is new to the planner
 */
public record ExchangeReply(List<RackId> owned, List<RackStatus> news) {
  /** Creates the message with copies of its lists. */
  public ExchangeReply {
    owned = List.copyOf(owned);
    news = List.copyOf(news);
  }
}
