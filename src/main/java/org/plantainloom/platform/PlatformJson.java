package org.plantainloom.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.state.ResourceVector;

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

  /**
   * Reads an amount of resources; a missing component is 0. Empty if one is negative or does not
   * fit into an {@code int}: Jackson would cut it off, to a negative amount for instance.
   */
  static Optional<ResourceVector> resources(JsonNode node) {
    long cpuMillis = node.path("cpu").asLong();
    long memoryMb = node.path("mem-mb").asLong();
    long accelerators = node.path("gpu").asLong();
    return isAmount(cpuMillis) && isAmount(memoryMb) && isAmount(accelerators)
        ? Optional.of(new ResourceVector((int) cpuMillis, (int) memoryMb, (int) accelerators))
        : Optional.empty();
  }

  private static boolean isAmount(long value) {
    return value >= 0 && value <= ResourceVector.MAX_AMOUNT;
  }

  static List<String> stringList(JsonNode array) {
    List<String> texts = new ArrayList<>();
    array.forEach(node -> texts.add(node.asText()));
    return texts;
  }
}
