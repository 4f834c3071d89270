package org.plantainloom.protocol.message;

import java.util.List;
import org.plantainloom.coordination.rack.RackStatus;

/**
 * What an owner says of its racks.
 *
 * @param racks status of each rack it owns
 */
public record ExchangeReply(List<RackStatus> racks) {
  /** Creates the message with copies of its lists. */
  public ExchangeReply {
    racks = List.copyOf(racks);
  }
}
