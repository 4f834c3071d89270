package org.plantainloom.protocol.document;

import java.util.List;
import java.util.Map;

/**
 * A JSON value that knows where it stands.
 *
 * @param line line of its first character, from 1
 * @param path path from the document's root
 * @param value a {@link Map} of nodes, a {@link List} of nodes, a string, number, boolean or null
 */
record LocatedNode(int line, String path, Object value) {

  /** Returns a short text of the value for messages. */
  String shown() {
    if (value instanceof Map) {
      return "an object";
    }
    if (value instanceof List) {
      return "a list";
    }
    return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
  }
}
