package org.plantainloom.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and creates the JSON of the platform's messages. */
final class PlatformJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlatformJson() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  /** Parses a JSON object; empty if the text is not one. */
  static Optional<JsonNode> parse(String text) {
    try {
      JsonNode node = MAPPER.readTree(text);
      return node != null && node.isObject() ? Optional.of(node) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  static List<String> stringList(JsonNode array) {
    List<String> texts = new ArrayList<>();
    array.forEach(node -> texts.add(node.asText()));
    return texts;
  }
}
