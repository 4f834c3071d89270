import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
  private static final int PAGE_ITEMS = 500;
  private static final int MAX_TXN_ENTRIES = 32;
  private static final long MIN_LATE_MS = 1_000;
  private static final long MAX_LATE_MS = 6_000;

  private record Item(String value, long revision, long created, long lease) {}

  private record Lease(long ttlMs, long untilMs) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<ObjectNode> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Map<String, Long> lastBeatMs = new HashMap<>();
  private final long heartbeatMs;
  private long revision = 10;
  private long nextLease = 1000;
  private boolean busy;
  private double lostShare;
  private final Random random = new Random();
  final Http http;

  Store(long heartbeatMs) throws Exception {
    this.heartbeatMs = heartbeatMs;
    this.http = new Http(this::handle);
    Thread expiry = new Thread(this::expireForever, "store-expiry");
    expiry.setDaemon(true);
    expiry.start();
  }

  /** While busy, the store answers each call with 503 and does nothing. */
  synchronized void setBusy(boolean newBusy) {
    busy = newBusy;
    notifyAll();
  }

  /** A share of the writes gets no answer and is carried out 1 to 6 s later. */
  synchronized void loseWrites(double share) {
    lostShare = share;
    Log.line("store", "share of the writes that get no answer and are done 1 to 6 s later: " + share);
  }

  private synchronized boolean isLost(Http.Call call) {
    return call.path().equals("/-/kv-txn") && random.nextDouble() < lostShare;
  }

  private Http.Reply carryOutLate(Http.Call call) throws Exception {
    Http.sleep(MIN_LATE_MS + random.nextInt((int) (MAX_LATE_MS - MIN_LATE_MS)));
    synchronized (this) {
      Http.Reply unheard = handleNow(call);
      String keys = call.json().path("writes").findValuesAsText("key").toString();
      Log.line("store", "late write of " + keys + " done, status " + unheard.status());
    }
    return new Http.Reply(0, null);
  }

  /** Writes a key as the operator does. */
  synchronized void put(String key, String text) {
    revision++;
    write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    notifyAll();
  }

  /** Writes the entry of a worker; false if the store does not serve now. */
  synchronized boolean beat(String id, String text) {
    if (busy) {
      return false;
    }
    lastBeatMs.put("servers/" + id, Http.nowMs());
    put("servers/" + id, text);
    return true;
  }

  synchronized boolean has(String key) {
    return items.containsKey(key);
  }

  synchronized String value(String key) {
    Item item = items.get(key);
    return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
  }

  private void write(String key, String value, long lease) {
    Item old = items.get(key);
    Item item = new Item(value, revision, old == null ? revision : old.created(), lease);
    items.put(key, item);
    history.add(json(key, item));
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      lastBeatMs.remove(key);
      history.add(Http.object().put("key", key).put("revision", revision).put("compacted", true));
    }
  }

  private static ObjectNode json(String key, Item item) {
    return Http.object()
        .put("key", key)
        .put("value", item.value())
        .put("revision", item.revision())
        .put("created-rev", item.created())
        .put("lease-id", item.lease());
  }

  private void expireForever() {
    while (true) {
      Http.sleep(20);
      synchronized (this) {
        expire();
      }
    }
  }

  private void expire() {
    long now = Http.nowMs();
    for (Map.Entry<Long, Lease> lease : new ArrayList<>(leases.entrySet())) {
      if (lease.getValue().untilMs() < now && !busy) {
        end(lease.getKey());
      }
    }
    for (Map.Entry<String, Long> beat : new ArrayList<>(lastBeatMs.entrySet())) {
      if (now - beat.getValue() > 3 * heartbeatMs && !busy) {
        revision++;
        remove(beat.getKey());
        Log.line("store", "entry removed after three intervals of silence: " + beat.getKey());
        notifyAll();
      }
    }
  }

  private void end(long lease) {
    leases.remove(lease);
    List<String> keys =
        items.entrySet().stream().filter(e -> e.getValue().lease() == lease).map(Map.Entry::getKey).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::remove);
      notifyAll();
    }
  }

  private Http.Reply handle(Http.Call call) throws Exception {
    if (call.path().equals("/-/kv-watch")) {
      return watch(call);
    }
    if (isLost(call)) {
      return carryOutLate(call);
    }
    synchronized (this) {
      if (busy) {
        return new Http.Reply(503, null);
      }
      return handleNow(call);
    }
  }

  private Http.Reply handleNow(Http.Call call) throws Exception {
    String path = call.path();
    if (path.equals("/-/kv-key")) {
      Item item = items.get(call.query("key"));
      return item == null
          ? new Http.Reply(404, null)
          : new Http.Reply(200, json(call.query("key"), item).put("at", revision));
    } else if (path.equals("/-/kv-range")) {
      return range(call.query("prefix"), call.query("after"));
    } else if (path.equals("/-/kv-txn")) {
      return transaction(call.json());
    } else if (path.equals("/-/kv-lease")) {
      long ttl = call.json().path("ttl-ms").asLong();
      leases.put(++nextLease, new Lease(ttl, Http.nowMs() + ttl));
      return new Http.Reply(200, Http.object().put("lease-id", nextLease).put("ttl-ms", ttl));
    }
    long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Http.Reply(404, null);
    }
    if (path.startsWith("/-/kv-lease-end/")) {
      end(id);
    } else {
      leases.put(id, new Lease(lease.ttlMs(), Http.nowMs() + lease.ttlMs()));
    }
    return new Http.Reply(200, Http.object().put("lease-id", id).put("ttl-ms", lease.ttlMs()));
  }

  private Http.Reply range(String prefix, String after) {
    ArrayNode rows = Http.array();
    boolean more = false;
    for (Map.Entry<String, Item> e : items.tailMap(prefix, true).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      if (!after.isEmpty() && e.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (rows.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      rows.add(json(e.getKey(), e.getValue()));
    }
    ObjectNode body = Http.object();
    body.set("items", rows);
    return new Http.Reply(200, body.put("has-more", more).put("at", revision));
  }

  private synchronized Http.Reply watch(Http.Call call) throws InterruptedException {
    String prefix = call.query("prefix");
    long after = Long.parseLong(call.query("after"));
    long untilMs = Http.nowMs() + Long.parseLong(call.query("wait-ms"));
    while (true) {
      if (busy) {
        return new Http.Reply(503, null);
      }
      ArrayNode events = Http.array();
      for (ObjectNode event : history) {
        if (event.path("revision").asLong() > after && event.path("key").asText().startsWith(prefix)) {
          events.add(event);
        }
      }
      long leftMs = untilMs - Http.nowMs();
      if (!events.isEmpty() || leftMs <= 0) {
        ObjectNode body = Http.object();
        body.set("events", events);
        return new Http.Reply(200, body.put("at", revision));
      }
      wait(leftMs);
    }
  }

  private Http.Reply transaction(JsonNode body) {
    ArrayNode current = Http.array();
    boolean holds = true;
    for (JsonNode row : body.path("expected-rev")) {
      Item item = items.get(row.path("key").asText());
      holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
      if (item != null) {
        current.add(json(row.path("key").asText(), item));
      }
    }
    int entries = body.path("expected-rev").size() + body.path("writes").size() + body.path("remove").size();
    if (entries > MAX_TXN_ENTRIES) {
      return new Http.Reply(400, null);
    }
    if (!holds) {
      ObjectNode conflict = Http.object();
      conflict.set("items", current);
      return new Http.Reply(412, conflict);
    }
    for (JsonNode row : body.path("writes")) {
      long lease = row.path("lease-id").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return new Http.Reply(404, null);
      }
    }
    revision++;
    for (JsonNode row : body.path("writes")) {
      write(row.path("key").asText(), row.path("value").asText(), row.path("lease-id").asLong());
    }
    body.path("remove").forEach(key -> remove(key.asText()));
    notifyAll();
    return new Http.Reply(200, Http.object().put("revision", revision));
  }
}
