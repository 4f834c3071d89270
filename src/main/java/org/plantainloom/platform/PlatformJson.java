package org.plantainloom.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.state.ResourceVector;

/** Reads and creates the JSON of the platform's messages. */
final class PlatformJson {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

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

  /** Reads an amount of resources; a missing component is 0. Empty if one is invalid. */
  static Optional<ResourceVector> resources(JsonNode node) {
    NumberReader numbers = new NumberReader();
    long cpuMillis = numbers.wholeNumber(node.path("cpu"));
    long memoryMb = numbers.wholeNumber(node.path("mem-mb"));
    long accelerators = numbers.wholeNumber(node.path("gpu"));
    return numbers.allValid() && isAmount(cpuMillis) && isAmount(memoryMb) && isAmount(accelerators)
        ? Optional.of(new ResourceVector((int) cpuMillis, (int) memoryMb, (int) accelerators))
        : Optional.empty();
  }

  private static boolean isAmount(long value) {
    return value <= ResourceVector.MAX_AMOUNT;
  }

  static List<String> stringList(JsonNode array) {
    List<String> texts = new ArrayList<>();
    array.forEach(node -> texts.add(node.asText()));
    return texts;
  }
}
