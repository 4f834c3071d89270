package org.plantainloom.protocol.document;

import java.util.List;
import java.util.Map;

/**
 * A JSON value with its location in the document.
 *
 * @param line line of its first character, from 1
 * @param path path from the root of the document
 * @param value a {@link Map} of nodes, a {@link List} of nodes, a string, number, boolean or null
 */
record LocatedNode(int line, String path, Object value) {

  /** Returns a short description of the value for messages. */
  String describe() {
    if (value instanceof Map) {
      return "an object";
    }
    if (value instanceof List) {
      return "a list";
    }
    return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
  }
}
