package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.LeaseReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.TransactionalStore;
import org.plantainloom.state.store.WatchReply;

/** HTTP client of the platform's metadata store. */
public final class PlatformStore implements TransactionalStore {
  /**
   * Well above the longest response time: a slow store takes 60 times its usual 4 ms, which is
   * under 300 ms with the network.
   */
  private static final long CALL_TIMEOUT_MS = 1_200;

  /**
   * Nodes sample with these reads all the time, so they are the first to notice that connections
   * have fallen silent. A slow store takes up to 300 ms.
   */
  private static final long STALE_READ_TIMEOUT_MS = 500;

  /** After this time a renewal counts as failed and is sent again. */
  private static final long RENEW_TIMEOUT_MS = 900;

  /** Time that the network and a busy store may add to the requested wait of a watch. */
  private static final long WATCH_SLACK_MS = 800;

  private final PlatformHttpClient client;
  private final String address;

  /**
   * Creates a client.
   *
   * @param address host and port of the store
   */
  public PlatformStore(PlatformHttpClient client, String address) {
    this.client = client;
    this.address = address;
  }

  @Override
  public CompletableFuture<ReadReply> read(String key) {
    return client
        .get(address, "/-/kv-key?key=" + urlEncoded(key), CALL_TIMEOUT_MS)
        .thenApply(PlatformStore::readReply);
  }

  @Override
  public CompletableFuture<ReadReply> readStale(String key) {
    return client
        .get(address, "/-/kv-key?key=" + urlEncoded(key) + "&stale-ok=1", STALE_READ_TIMEOUT_MS)
        .thenApply(PlatformStore::readReply);
  }

  private static ReadReply readReply(PlatformHttpReply reply) {
    if (reply.status() == 404) {
      return new ReadReply.Found(List.of(), 0);
    }
    Optional<JsonNode> body = reply.isOk() ? PlatformJson.parse(reply.body()) : Optional.empty();
    return body.isEmpty()
        ? new ReadReply.Unavailable(reply.summary())
        : new ReadReply.Found(List.of(item(body.get())), body.get().path("at").asLong());
  }

  @Override
  public CompletableFuture<ReadReply> list(String prefix) {
    return listFrom(prefix, "", new ArrayList<>(), 0);
  }

  /**
   * Reads the remaining pages. The result has the revision of the first page, as the pages are not
   * one snapshot: a watch from there misses no change made between two pages.
   */
  private CompletableFuture<ReadReply> listFrom(
      String prefix, String afterKey, List<StoreItem> items, long firstRevision) {
    String path = "/-/kv-range?prefix=" + urlEncoded(prefix);
    return client
        .get(
            address,
            afterKey.isEmpty() ? path : path + "&after=" + urlEncoded(afterKey),
            CALL_TIMEOUT_MS)
        .thenCompose(
            reply -> {
              Optional<JsonNode> body =
                  reply.isOk() ? PlatformJson.parse(reply.body()) : Optional.empty();
              if (body.isEmpty()) {
                return CompletableFuture.completedFuture(
                    new ReadReply.Unavailable(reply.summary()));
              }
              body.get().path("items").forEach(node -> items.add(item(node)));
              long revision = firstRevision == 0 ? body.get().path("at").asLong() : firstRevision;
              return body.get().path("has-more").asBoolean() && !items.isEmpty()
                  ? listFrom(prefix, items.get(items.size() - 1).key(), items, revision)
                  : CompletableFuture.completedFuture(new ReadReply.Found(items, revision));
            });
  }

  @Override
  public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs) {
    String path =
        "/-/kv-watch?prefix=" + urlEncoded(prefix) + "&after=" + after + "&wait-ms=" + waitMs;
    return client
        .poll(address, path, waitMs, waitMs + WATCH_SLACK_MS)
        .thenApply(
            reply -> {
              // Changes that are too large stay so with each attempt; a list comes in pages.
              if (reply.status() == 410 || reply.status() == PlatformHttpReply.TOO_LARGE) {
                return new WatchReply.HistoryLost();
              }
              Optional<JsonNode> body =
                  reply.isOk() ? PlatformJson.parse(reply.body()) : Optional.empty();
              if (body.isEmpty()) {
                return new WatchReply.Unavailable(reply.summary());
              }
              List<StoreEvent> events = new ArrayList<>();
              body.get().path("events").forEach(node -> events.add(event(node)));
              return new WatchReply.Changes(events, body.get().path("at").asLong(after));
            });
  }

  @Override
  public CompletableFuture<CommitReply> commit(Transaction transaction) {
    return client
        .post(address, "/-/kv-txn", body(transaction), CALL_TIMEOUT_MS)
        .thenApply(PlatformStore::commitReply);
  }

  private static CommitReply commitReply(PlatformHttpReply reply) {
    if (reply.isRefused() || reply.status() == 404 || reply.status() == 403) {
      return new CommitReply.Refused(reply.summary());
    }
    Optional<JsonNode> body = PlatformJson.parse(reply.body());
    if (reply.isOk() && body.isPresent()) {
      return new CommitReply.Committed(body.get().path("revision").asLong());
    }
    if (reply.status() == 412 && body.isPresent()) {
      List<StoreItem> current = new ArrayList<>();
      body.get().path("items").forEach(node -> current.add(item(node)));
      return new CommitReply.Conflict(current);
    }
    return reply.status() == 400
        ? new CommitReply.Refused(reply.summary())
        : new CommitReply.Unknown(reply.summary());
  }

  private static String body(Transaction transaction) {
    ObjectNode body = PlatformJson.object();
    ArrayNode expected = body.putArray("expected-rev");
    transaction
        .expected()
        .forEach((key, revision) -> expected.addObject().put("key", key).put("revision", revision));
    ArrayNode writes = body.putArray("writes");
    transaction
        .writes()
        .forEach(
            (key, value) -> {
              ObjectNode write =
                  writes.addObject().put("key", key).put("value", encodeBase64(value));
              if (transaction.leaseOf(key) != 0) {
                write.put("lease-id", transaction.leaseOf(key));
              }
            });
    ArrayNode removals = body.putArray("remove");
    transaction.removals().forEach(removals::add);
    return body.toString();
  }

  @Override
  public CompletableFuture<LeaseReply> grantLease(long ttlMs) {
    String body = PlatformJson.object().put("ttl-ms", ttlMs).toString();
    return client
        .post(address, "/-/kv-lease", body, CALL_TIMEOUT_MS)
        .thenApply(reply -> leaseReply(reply, 0));
  }

  @Override
  public CompletableFuture<LeaseReply> renewLease(long leaseId) {
    return client
        .post(address, "/-/kv-keep/" + leaseId, "", RENEW_TIMEOUT_MS)
        .thenApply(reply -> leaseReply(reply, leaseId));
  }

  @Override
  public CompletableFuture<LeaseReply> endLease(long leaseId) {
    String path = "/-/kv-lease-end/" + leaseId;
    return client
        .delete(address, path, CALL_TIMEOUT_MS)
        .thenApply(
            reply ->
                reply.isOk()
                    ? new LeaseReply.Ended()
                    : new LeaseReply.Unavailable(reply.summary()));
  }

  private static LeaseReply leaseReply(PlatformHttpReply reply, long defaultId) {
    if (reply.status() == 404) {
      return new LeaseReply.Ended();
    }
    Optional<JsonNode> body = reply.isOk() ? PlatformJson.parse(reply.body()) : Optional.empty();
    return body.isEmpty()
        ? new LeaseReply.Unavailable(reply.summary())
        : new LeaseReply.Held(
            body.get().path("lease-id").asLong(defaultId), body.get().path("ttl-ms").asLong());
  }

  private static StoreItem item(JsonNode node) {
    return new StoreItem(
        node.path("key").asText(),
        decodeBase64(node.path("value").asText()),
        node.path("revision").asLong());
  }

  /** Decodes an event; one without a value means that its key was removed. */
  private static StoreEvent event(JsonNode node) {
    Optional<String> value =
        node.hasNonNull("value")
            ? Optional.of(decodeBase64(node.get("value").asText()))
            : Optional.empty();
    return new StoreEvent(node.path("key").asText(), value, node.path("revision").asLong());
  }

  private static String decodeBase64(String base64) {
    try {
      // A new decoder reports malformed input instead of replacing it.
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(Base64.getDecoder().decode(base64)))
          .toString();
    } catch (IllegalArgumentException | CharacterCodingException e) {
      // Written by another system; the reader of the key rejects the empty text and logs that.
      return "";
    }
  }

  private static String encodeBase64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String urlEncoded(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
