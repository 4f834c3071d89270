package org.plantainloom.protocol.message;

import java.util.List;
import org.plantainloom.state.StoreEntry;

/**
 * Values read from the store by prefix.
 *
 * @param entries the entries
 */
public record StoreList(List<StoreEntry> entries) {
  /** Creates the message with copies of its lists. */
  public StoreList {
    entries = List.copyOf(entries);
  }
}
