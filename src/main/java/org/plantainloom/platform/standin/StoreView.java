package org.plantainloom.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The store as one node sees it: with an address of its own and, in the values of keys, other
 * addresses of workers and nodes, such as those of proxies between that node and them. The store
 * keeps the addresses that the workers and nodes have themselves.
 */
public final class StoreView {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String VALUE_FIELD = "value";
  private static final String WATCH_PATH = "/-/kv-watch";
  private static final String TRANSACTION_PATH = "/-/kv-txn";

  /** Greedy, so that an address is never taken for the beginning of a longer one. */
  private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:\\d+");

  private final SimulatedStore store;
  private final Map<String, String> seenAddresses = new ConcurrentHashMap<>();
  private final Map<String, String> ownAddresses = new ConcurrentHashMap<>();
  private volatile boolean rejecting;
  private volatile boolean watchesSilent;
  private volatile IntSupplier writeDelayMs = () -> 0;
  private volatile String address = "";

  StoreView(SimulatedStore store) {
    this.store = store;
  }

  /** Returns host and port at which the node reaches the store. */
  public String address() {
    return address;
  }

  void listenAt(String newAddress) {
    address = newAddress;
  }

  /** Makes the node see another address in place of one that the store keeps. */
  public void substitute(String ownAddress, String seenAddress) {
    seenAddresses.put(ownAddress, seenAddress);
    ownAddresses.put(seenAddress, ownAddress);
  }

  /** Makes the store reject all requests of this node, or serve them again. */
  public void setRejecting(boolean newRejecting) {
    rejecting = newRejecting;
  }

  /**
   * Makes the store leave all watches of this node without a response, or respond to new ones
   * again. A watch that was silent once stays so.
   */
  public void setWatchesSilent(boolean newSilent) {
    watchesSilent = newSilent;
  }

  /**
   * Makes the store carry out transactions of this node late and without a response.
   *
   * @param delayMs supplies the delay of each transaction in milliseconds; 0 for none
   */
  public void delayWrites(IntSupplier delayMs) {
    writeDelayMs = delayMs;
  }

  HttpResponse handle(AggregatedHttpRequest request) throws IOException {
    if (rejecting) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    AggregatedHttpRequest translated =
        request.content().isEmpty()
            ? request
            : AggregatedHttpRequest.of(
                request.headers(),
                HttpData.ofUtf8(translate(request.contentUtf8(), ownAddresses).toString()));
    boolean isWatch = request.path().startsWith(WATCH_PATH);
    int delayMs = request.path().equals(TRANSACTION_PATH) ? writeDelayMs.getAsInt() : 0;
    if (isWatch && watchesSilent) {
      return withoutResponse();
    } else if (delayMs > 0) {
      CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS)
          .execute(() -> carryOut(translated));
      return withoutResponse();
    }
    return HttpResponse.of(
        store
            .handle(translated)
            .aggregate()
            .thenApply(
                response -> isWatch && watchesSilent ? withoutResponse() : translate(response)));
  }

  private static HttpResponse withoutResponse() {
    return HttpResponse.of(new CompletableFuture<>());
  }

  private void carryOut(AggregatedHttpRequest request) {
    try {
      store.handle(request);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private HttpResponse translate(AggregatedHttpResponse response) {
    if (rejecting) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    if (response.contentType() == null || !response.contentType().isJson()) {
      return response.toHttpResponse();
    }
    try {
      return SimulatedStore.json(
          response.status(), translate(response.contentUtf8(), seenAddresses));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode translate(String body, Map<String, String> addresses) throws IOException {
    JsonNode root = JSON.readTree(body);
    for (JsonNode item : root.findParents(VALUE_FIELD)) {
      ((ObjectNode) item)
          .put(VALUE_FIELD, translateValue(item.path(VALUE_FIELD).asText(), addresses));
    }
    return root;
  }

  private static String translateValue(String base64, Map<String, String> addresses) {
    // This charset keeps any bytes as they are.
    String text = new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    String translated =
        ADDRESS
            .matcher(text)
            .replaceAll(
                match ->
                    Matcher.quoteReplacement(addresses.getOrDefault(match.group(), match.group())));
    return Base64.getEncoder().encodeToString(translated.getBytes(StandardCharsets.ISO_8859_1));
  }
}
