package org.plantainloom.protocol.message;

import java.util.List;
import org.plantainloom.state.StoreEntry;

/**
 * The store's entries with a prefix.
 *
 * @param entries the entries
 */
public record StoreList(List<StoreEntry> entries) {
  /** Creates the message with a copy of its list. */
  public StoreList {
    entries = List.copyOf(entries);
  }
}
