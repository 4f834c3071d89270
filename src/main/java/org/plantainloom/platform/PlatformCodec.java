package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.QueueConfig;
import org.plantainloom.state.job.WorkerRegistration;

/** Decodes the keys and values that the platform's operators and workers write to the store. */
public final class PlatformCodec implements ClusterCodec {
  private static final String OPERATOR_PREFIX = "op/";
  private static final String CONFIG_KEY = "op/config";
  private static final String EVACUATE_PREFIX = "op/evacuate/";
  private static final String WORKER_PREFIX = "servers/";
  private static final int DEFAULT_MAX_BODY_BYTES = 262_144;

  /**
   * A registration takes under a thousand characters. The store accepts values of a megabyte, which
   * would take half of a node's heap once parsed.
   */
  private static final int MAX_REGISTRATION_CHARS = 65_536;

  /** Characters that a header can carry and a log line shows as they are. */
  private static final Pattern WORKER_ID = Pattern.compile("[!-~]+");

  /** Workers listen on IPv4; the network resolves no names. */
  private static final Pattern ADDRESS =
      Pattern.compile(
          "OCTET(\\.OCTET){3}:(?<port>[0-9]{1,5})"
              .replace("OCTET", "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"));

  private static final int MAX_PORT = 65_535;

  @Override
  public String operatorPrefix() {
    return OPERATOR_PREFIX;
  }

  @Override
  public String workerPrefix() {
    return WORKER_PREFIX;
  }

  @Override
  public Optional<ClusterConfig> config(String key, String text) {
    return key.equals(CONFIG_KEY)
        ? PlatformJson.parse(text).map(PlatformCodec::config)
        : Optional.empty();
  }

  private static ClusterConfig config(JsonNode root) {
    List<QueueConfig> queues = new ArrayList<>();
    root.path("routes").forEach(node -> queues.add(queue(node)));
    List<String> capacityEnforcingServices = new ArrayList<>();
    for (JsonNode service : root.path("services")) {
      // Set if the service's workers refuse tasks that exceed their capacity.
      if (service.path("preconditions").asBoolean()) {
        capacityEnforcingServices.add(service.path("name").asText());
      }
    }
    return new ClusterConfig(
        root.path("version").asLong(),
        queues,
        capacityEnforcingServices,
        root.path("limits").path("max-body-bytes").asInt(DEFAULT_MAX_BODY_BYTES));
  }

  private static QueueConfig queue(JsonNode node) {
    return new QueueConfig(
        node.path("name").asText(),
        node.path("host").asText(),
        node.path("prefix").asText(),
        node.path("service").asText(),
        node.path("priority").asInt(),
        node.path("max-attempts").asInt(1),
        node.path("stretch-factor").asDouble(1),
        node.path("target-duration-ms").asLong(),
        node.path("timeout-ms").asLong(),
        // Present if each start requires a permit of the recommendation service.
        node.path("recommendation").isObject());
  }

  @Override
  public Optional<String> withdrawnZone(String key) {
    return key.startsWith(EVACUATE_PREFIX)
        ? Optional.of(key.substring(EVACUATE_PREFIX.length()))
        : Optional.empty();
  }

  @Override
  public Optional<WorkerRegistration> worker(String key, String text) {
    if (text.length() > MAX_REGISTRATION_CHARS || !WORKER_ID.matcher(workerId(key)).matches()) {
      return Optional.empty();
    }
    return PlatformJson.parse(text)
        .filter(PlatformCodec::isRegistration)
        .flatMap(node -> registration(key, node));
  }

  /** Other writers may put entries below the prefix that are not registrations of workers. */
  private static boolean isRegistration(JsonNode node) {
    JsonNode capacity = node.path("capacity");
    String state = node.path("state").asText();
    return node.path("service").isTextual()
        && node.path("address").isTextual()
        && isAddress(node.path("address").asText())
        && node.path("zone").isTextual()
        && node.path("state").isTextual()
        && (state.equals("ready") || state.equals("draining"))
        && capacity.path("cpu").isNumber()
        && capacity.path("mem-mb").isNumber()
        && isListOfTexts(node.path("labels"));
  }

  private static boolean isListOfTexts(JsonNode node) {
    if (!node.isArray()) {
      return false;
    }
    for (JsonNode element : node) {
      if (!element.isTextual()) {
        return false;
      }
    }
    return true;
  }

  private static boolean isAddress(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group("port"));
    return port > 0 && port <= MAX_PORT;
  }

  private Optional<WorkerRegistration> registration(String key, JsonNode node) {
    NumberReader numbers = new NumberReader();
    long startedAtMs = numbers.wholeNumber(node.path("born"));
    long clockMs = numbers.time(node.path("server-time-ms"));
    if (!numbers.allValid()) {
      return Optional.empty();
    }
    return PlatformJson.resources(node.path("capacity"))
        .map(
            capacity ->
                new WorkerRegistration(
                    workerId(key),
                    node.path("service").asText(),
                    node.path("address").asText(),
                    node.path("zone").asText(),
                    node.path("state").asText().equals("draining"),
                    capacity,
                    PlatformJson.stringList(node.path("labels")),
                    startedAtMs,
                    clockMs));
  }

  @Override
  public String workerId(String key) {
    return key.startsWith(WORKER_PREFIX) ? key.substring(WORKER_PREFIX.length()) : "";
  }
}
