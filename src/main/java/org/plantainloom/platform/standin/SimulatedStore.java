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

/** The platform's store in the small: revisions, conditions, leases, watches, lost answers. */
@SuppressWarnings("FutureReturnValueIgnored") // timers run until the stand-in is closed
final class SimulatedStore {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ScheduledExecutorService timers;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<ObjectNode> history = new ArrayList<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private final Map<Long, Long> leaseTtls = new HashMap<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private long revision = 1;
  private long forgottenUpTo;
  private boolean down;
  private int loseAnswers;
  private long delayMs;

  private record Item(String value, long revision, long created, long lease) {}

  private record Waiting(String prefix, long after, CompletableFuture<HttpResponse> answer) {}

  SimulatedStore(ScheduledExecutorService timers) {
    this.timers = timers;
  }

  synchronized void down(boolean nowDown) {
    down = nowDown;
  }

  /** Carries out so many transactions without answering. */
  synchronized void loseAnswers(int count) {
    loseAnswers = count;
  }

  /** Answers later than usual. */
  synchronized void delay(long newDelayMs) {
    delayMs = newDelayMs;
  }

  /** Drops the history, as the platform may at any time. */
  synchronized void forgetHistory() {
    forgottenUpTo = revision;
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
    write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    notifyWaiting();
  }

  synchronized void remove(String key) {
    revision++;
    drop(key);
    notifyWaiting();
  }

  synchronized HttpResponse answer(AggregatedHttpRequest request) throws IOException {
    HttpResponse now = answerNow(request);
    if (delayMs == 0) {
      return now;
    }
    CompletableFuture<HttpResponse> later = new CompletableFuture<>();
    timers.schedule(() -> later.complete(now), delayMs, TimeUnit.MILLISECONDS);
    return HttpResponse.of(later);
  }

  private HttpResponse answerNow(AggregatedHttpRequest request) throws IOException {
    if (down) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    expireLeases();
    int question = request.path().indexOf('?');
    String path = question < 0 ? request.path() : request.path().substring(0, question);
    QueryParams query =
        QueryParams.fromQueryString(question < 0 ? "" : request.path().substring(question + 1));
    if (path.equals("/-/kv-key")) {
      String key = query.get("key", "");
      Item item = items.get(key);
      return item == null
          ? HttpResponse.of(HttpStatus.NOT_FOUND)
          : json(HttpStatus.OK, row(key, item).put("at", revision));
    } else if (path.equals("/-/kv-range")) {
      return range(query.get("prefix", ""));
    } else if (path.equals("/-/kv-watch")) {
      return watch(query);
    } else if (path.equals("/-/kv-txn")) {
      return transaction(JSON.readTree(request.contentUtf8()));
    }
    return lease(request, path);
  }

  private HttpResponse range(String prefix) {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode rows = body.putArray("items");
    items.tailMap(prefix).entrySet().stream()
        .takeWhile(e -> e.getKey().startsWith(prefix))
        .forEach(e -> rows.add(row(e.getKey(), e.getValue())));
    return json(HttpStatus.OK, body.put("has-more", false).put("at", revision));
  }

  private HttpResponse watch(QueryParams query) {
    String prefix = query.get("prefix", "");
    long after = Long.parseLong(query.get("after", "0"));
    if (after < forgottenUpTo) {
      return HttpResponse.of(HttpStatus.GONE);
    }
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    waiting.add(new Waiting(prefix, after, answer));
    notifyWaiting();
    timers.schedule(
        () -> answer.complete(events(prefix, after)),
        Long.parseLong(query.get("wait-ms", "0")),
        TimeUnit.MILLISECONDS);
    return HttpResponse.of(answer);
  }

  private synchronized HttpResponse events(String prefix, long after) {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode events = body.putArray("events");
    history.stream()
        .filter(e -> e.path("revision").asLong() > after)
        .filter(e -> e.path("key").asText().startsWith(prefix))
        .forEach(events::add);
    return json(HttpStatus.OK, body.put("at", revision));
  }

  private void notifyWaiting() {
    waiting.removeIf(
        w -> {
          boolean any =
              history.stream()
                  .anyMatch(
                      e ->
                          e.path("revision").asLong() > w.after()
                              && e.path("key").asText().startsWith(w.prefix()));
          if (any) {
            w.answer().complete(events(w.prefix(), w.after()));
          }
          return any || w.answer().isDone();
        });
  }

  private HttpResponse transaction(JsonNode body) {
    ObjectNode conflict = JSON.createObjectNode();
    ArrayNode current = conflict.putArray("items");
    boolean holds = true;
    for (JsonNode row : body.path("expected-rev")) {
      Item item = items.get(row.path("key").asText());
      holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
      if (item != null) {
        current.add(row(row.path("key").asText(), item));
      }
    }
    if (!holds) {
      return json(HttpStatus.PRECONDITION_FAILED, conflict);
    }
    for (JsonNode row : body.path("writes")) {
      long lease = row.path("lease-id").asLong();
      if (lease != 0 && !leaseEnds.containsKey(lease)) {
        return HttpResponse.of(HttpStatus.NOT_FOUND);
      }
    }
    revision++;
    body.path("writes")
        .forEach(
            row ->
                write(
                    row.path("key").asText(),
                    row.path("value").asText(),
                    row.path("lease-id").asLong()));
    body.path("remove").forEach(key -> drop(key.asText()));
    notifyWaiting();
    if (loseAnswers > 0) {
      loseAnswers--;
      return HttpResponse.of(new CompletableFuture<>());
    }
    return json(HttpStatus.OK, JSON.createObjectNode().put("revision", revision));
  }

  private void write(String key, String value, long lease) {
    Item old = items.get(key);
    Item item = new Item(value, revision, old == null ? revision : old.created(), lease);
    items.put(key, item);
    history.add(row(key, item));
  }

  private void drop(String key) {
    if (items.remove(key) != null) {
      history.add(
          JSON.createObjectNode().put("key", key).put("revision", revision).put("compacted", true));
    }
  }

  private HttpResponse lease(AggregatedHttpRequest request, String path) throws IOException {
    long now = System.nanoTime() / 1_000_000;
    if (path.equals("/-/kv-lease")) {
      long id = ++revision;
      long ttl = JSON.readTree(request.contentUtf8()).path("ttl-ms").asLong();
      leaseTtls.put(id, ttl);
      leaseEnds.put(id, now + ttl);
      return json(HttpStatus.OK, JSON.createObjectNode().put("lease-id", id).put("ttl-ms", ttl));
    }
    long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    if (!leaseEnds.containsKey(id)) {
      return HttpResponse.of(HttpStatus.NOT_FOUND);
    }
    if (request.method() == HttpMethod.DELETE) {
      end(id);
    } else {
      leaseEnds.put(id, now + leaseTtls.get(id));
    }
    return json(HttpStatus.OK, JSON.createObjectNode().put("ttl-ms", leaseTtls.get(id)));
  }

  synchronized void expireLeases() {
    long now = System.nanoTime() / 1_000_000;
    List<Long> over =
        leaseEnds.entrySet().stream()
            .filter(e -> e.getValue() < now)
            .map(Map.Entry::getKey)
            .toList();
    over.forEach(this::end);
  }

  private void end(long lease) {
    leaseEnds.remove(lease);
    List<String> keys =
        items.entrySet().stream()
            .filter(e -> e.getValue().lease() == lease)
            .map(Map.Entry::getKey)
            .toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::drop);
      notifyWaiting();
    }
  }

  private static ObjectNode row(String key, Item item) {
    return JSON.createObjectNode()
        .put("key", key)
        .put("value", item.value())
        .put("revision", item.revision())
        .put("created-rev", item.created())
        .put("lease-id", item.lease());
  }

  static HttpResponse json(HttpStatus status, JsonNode body) {
    return HttpResponse.of(status, MediaType.JSON, body.toString());
  }
}
