package org.plantainloom.coordination.rack;

import java.util.Set;
import org.plantainloom.state.ZoneName;

/**
 * The availability zones that are taken out of service, as read from the store.
 *
 * @param asOfMs when the read was sent, in milliseconds since the Unix epoch
 * @param zonesOut zones in which no task may start
 */
public record ZoneView(long asOfMs, Set<ZoneName> zonesOut) {
  /** Creates the view with a copy of the set. */
  public ZoneView {
    zonesOut = Set.copyOf(zonesOut);
  }
}
