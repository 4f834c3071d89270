package org.plantainloom.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the platform's store: revisions, conditional transactions, leases and watches. It can
 * be made to fail, to respond late, to drop responses and to lose its history.
 */
@SuppressWarnings("FutureReturnValueIgnored") // timers run until the platform is closed
final class SimulatedStore {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ScheduledExecutorService timers;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<ObjectNode> history = new ArrayList<>();
  private final Map<Long, Long> leaseExpiriesMs = new HashMap<>();
  private final Map<Long, Long> leaseTtlsMs = new HashMap<>();
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private long revision = 1;
  private long historyDroppedUpTo;
  private boolean down;
  private int responsesToDrop;
  private long delayMs;

  private record Item(String value, long revision, long createdRevision, long leaseId) {}

  private record PendingWatch(
      String prefix, long after, CompletableFuture<HttpResponse> response) {}

  SimulatedStore(ScheduledExecutorService timers) {
    this.timers = timers;
  }

  synchronized void setDown(boolean newDown) {
    down = newDown;
  }

  /** Commits the next {@code count} transactions without a response. */
  synchronized void dropResponses(int count) {
    responsesToDrop = count;
  }

  /** Delays all responses; 0 for none. */
  synchronized void setDelay(long newDelayMs) {
    delayMs = newDelayMs;
  }

  /** Drops the history, as the platform may at any time. */
  synchronized void dropHistory() {
    historyDroppedUpTo = revision;
    history.clear();
  }

  synchronized String value(String key) {
    Item item = items.get(key);
    return item == null
        ? ""
        : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
  }

  synchronized void put(String key, String text) {
    revision++;
    writeItem(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    completeWatches();
  }

  synchronized void remove(String key) {
    revision++;
    removeItem(key);
    completeWatches();
  }

  synchronized HttpResponse handle(AggregatedHttpRequest request) throws IOException {
    HttpResponse response = handleNow(request);
    if (delayMs == 0) {
      return response;
    }
    CompletableFuture<HttpResponse> delayed = new CompletableFuture<>();
    timers.schedule(() -> delayed.complete(response), delayMs, TimeUnit.MILLISECONDS);
    return HttpResponse.of(delayed);
  }

  private HttpResponse handleNow(AggregatedHttpRequest request) throws IOException {
    if (down) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    expireLeases();
    int queryStart = request.path().indexOf('?');
    String path = queryStart < 0 ? request.path() : request.path().substring(0, queryStart);
    QueryParams query =
        QueryParams.fromQueryString(queryStart < 0 ? "" : request.path().substring(queryStart + 1));
    if (path.equals("/-/kv-key")) {
      String key = query.get("key", "");
      Item item = items.get(key);
      return item == null
          ? HttpResponse.of(HttpStatus.NOT_FOUND)
          : json(HttpStatus.OK, itemJson(key, item).put("at", revision));
    } else if (path.equals("/-/kv-range")) {
      return range(query.get("prefix", ""));
    } else if (path.equals("/-/kv-watch")) {
      return watch(query);
    } else if (path.equals("/-/kv-txn")) {
      return transaction(JSON.readTree(request.contentUtf8()));
    }
    return handleLease(request, path);
  }

  private HttpResponse range(String prefix) {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode rows = body.putArray("items");
    items.tailMap(prefix).entrySet().stream()
        .takeWhile(e -> e.getKey().startsWith(prefix))
        .forEach(e -> rows.add(itemJson(e.getKey(), e.getValue())));
    return json(HttpStatus.OK, body.put("has-more", false).put("at", revision));
  }

  private HttpResponse watch(QueryParams query) {
    String prefix = query.get("prefix", "");
    long after = Long.parseLong(query.get("after", "0"));
    if (after < historyDroppedUpTo) {
      return HttpResponse.of(HttpStatus.GONE);
    }
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    pendingWatches.add(new PendingWatch(prefix, after, response));
    completeWatches();
    timers.schedule(
        () -> response.complete(events(prefix, after)),
        Long.parseLong(query.get("wait-ms", "0")),
        TimeUnit.MILLISECONDS);
    return HttpResponse.of(response);
  }

  private synchronized HttpResponse events(String prefix, long after) {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode events = body.putArray("events");
    historyAfter(after).stream()
        .filter(e -> e.path("key").asText().startsWith(prefix))
        .forEach(events::add);
    return json(HttpStatus.OK, body.put("at", revision));
  }

  /** Returns the events after a revision; events are in the order of their revisions. */
  private List<ObjectNode> historyAfter(long after) {
    int first = history.size();
    while (first > 0 && history.get(first - 1).path("revision").asLong() > after) {
      first--;
    }
    return history.subList(first, history.size());
  }

  private void completeWatches() {
    pendingWatches.removeIf(
        watch -> {
          boolean matches =
              historyAfter(watch.after()).stream()
                  .anyMatch(e -> e.path("key").asText().startsWith(watch.prefix()));
          if (matches) {
            watch.response().complete(events(watch.prefix(), watch.after()));
          }
          return matches || watch.response().isDone();
        });
  }

  private HttpResponse transaction(JsonNode body) {
    ObjectNode conflict = JSON.createObjectNode();
    ArrayNode currentItems = conflict.putArray("items");
    boolean conditionsHold = true;
    for (JsonNode row : body.path("expected-rev")) {
      Item item = items.get(row.path("key").asText());
      conditionsHold &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
      if (item != null) {
        currentItems.add(itemJson(row.path("key").asText(), item));
      }
    }
    if (!conditionsHold) {
      return json(HttpStatus.PRECONDITION_FAILED, conflict);
    }
    for (JsonNode row : body.path("writes")) {
      long lease = row.path("lease-id").asLong();
      if (lease != 0 && !leaseExpiriesMs.containsKey(lease)) {
        return HttpResponse.of(HttpStatus.NOT_FOUND);
      }
    }
    revision++;
    body.path("writes")
        .forEach(
            row ->
                writeItem(
                    row.path("key").asText(),
                    row.path("value").asText(),
                    row.path("lease-id").asLong()));
    body.path("remove").forEach(key -> removeItem(key.asText()));
    completeWatches();
    if (responsesToDrop > 0) {
      responsesToDrop--;
      return HttpResponse.of(new CompletableFuture<>());
    }
    return json(HttpStatus.OK, JSON.createObjectNode().put("revision", revision));
  }

  private void writeItem(String key, String value, long leaseId) {
    Item old = items.get(key);
    Item item = new Item(value, revision, old == null ? revision : old.createdRevision(), leaseId);
    items.put(key, item);
    history.add(itemJson(key, item));
  }

  private void removeItem(String key) {
    if (items.remove(key) != null) {
      history.add(
          JSON.createObjectNode().put("key", key).put("revision", revision).put("compacted", true));
    }
  }

  private HttpResponse handleLease(AggregatedHttpRequest request, String path) throws IOException {
    long nowMs = System.nanoTime() / 1_000_000;
    if (path.equals("/-/kv-lease")) {
      long leaseId = ++revision;
      long ttlMs = JSON.readTree(request.contentUtf8()).path("ttl-ms").asLong();
      leaseTtlsMs.put(leaseId, ttlMs);
      leaseExpiriesMs.put(leaseId, nowMs + ttlMs);
      return json(
          HttpStatus.OK, JSON.createObjectNode().put("lease-id", leaseId).put("ttl-ms", ttlMs));
    }
    long leaseId = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    if (!leaseExpiriesMs.containsKey(leaseId)) {
      return HttpResponse.of(HttpStatus.NOT_FOUND);
    }
    if (request.method() == HttpMethod.DELETE) {
      endLease(leaseId);
    } else {
      leaseExpiriesMs.put(leaseId, nowMs + leaseTtlsMs.get(leaseId));
    }
    return json(HttpStatus.OK, JSON.createObjectNode().put("ttl-ms", leaseTtlsMs.get(leaseId)));
  }

  synchronized void expireLeases() {
    long nowMs = System.nanoTime() / 1_000_000;
    List<Long> expired =
        leaseExpiriesMs.entrySet().stream()
            .filter(e -> e.getValue() < nowMs)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::endLease);
  }

  private void endLease(long leaseId) {
    leaseExpiriesMs.remove(leaseId);
    List<String> keys =
        items.entrySet().stream()
            .filter(e -> e.getValue().leaseId() == leaseId)
            .map(Map.Entry::getKey)
            .toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::removeItem);
      completeWatches();
    }
  }

  private static ObjectNode itemJson(String key, Item item) {
    return JSON.createObjectNode()
        .put("key", key)
        .put("value", item.value())
        .put("revision", item.revision())
        .put("created-rev", item.createdRevision())
        .put("lease-id", item.leaseId());
  }

  static HttpResponse json(HttpStatus status, JsonNode body) {
    return HttpResponse.of(status, MediaType.JSON, body.toString());
  }
}
