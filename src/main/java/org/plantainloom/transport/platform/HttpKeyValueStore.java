package org.plantainloom.transport.platform;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.StoreList;
import org.plantainloom.protocol.message.StoreRevision;
import org.plantainloom.protocol.message.StoreValue;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.state.WriteResult;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;

/** Adapter to the platform's key-value service. */
public final class HttpKeyValueStore implements KeyValueStore {
  private static final long TIMEOUT_MS = 2_000;
  private static final long WATCH_EXTRA_TIMEOUT_MS = 2_000;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private static final ReadResult MALFORMED_READ = new ReadResult.Unavailable("malformed response");
  private static final WriteResult MALFORMED_WRITE = new WriteResult.Unknown("malformed response");

  private final JsonClient client;
  private final String address;
  private final StoreCallMeters meters;
  private final DecodeErrorLog errors = new DecodeErrorLog();

  /** Creates the adapter to the service at the address. */
  public HttpKeyValueStore(JsonClient client, String address, MetricRegistry metrics) {
    this.client = client;
    this.address = address;
    this.meters = new StoreCallMeters(metrics);
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    meters.read();
    return client
        .get(address, path(key), TIMEOUT_MS)
        .thenApply(
            JsonClient.decoding(errors, "store reply on " + key, this::readResult, MALFORMED_READ));
  }

  private ReadResult readResult(HttpReply reply) {
    if (reply.isSuccess()) {
      StoreValue value = Json.read(reply.body(), StoreValue.class);
      return new ReadResult.Found(value.value(), value.revision());
    }
    if (reply.status() == NOT_FOUND) {
      return new ReadResult.Absent();
    }
    meters.failed();
    return new ReadResult.Unavailable(reply.body());
  }

  @Override
  public CompletableFuture<Optional<List<StoreEntry>>> list(String prefix) {
    meters.list();
    return client
        .get(address, "/kv/?prefix=" + prefix, TIMEOUT_MS)
        .thenApply(
            JsonClient.decoding(
                errors, "store list of " + prefix, this::entries, Optional.empty()));
  }

  private Optional<List<StoreEntry>> entries(HttpReply reply) {
    if (!reply.isSuccess()) {
      meters.failed();
      return Optional.empty();
    }
    return Optional.of(Json.read(reply.body(), StoreList.class).entries());
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedRevision, String value) {
    meters.write();
    return put(path(key) + "?expect=" + expectedRevision, value);
  }

  @Override
  public CompletableFuture<WriteResult> putLeased(String key, String value, long ttlMs) {
    meters.lease();
    return put(path(key) + "?ttlMs=" + ttlMs, value);
  }

  private CompletableFuture<WriteResult> put(String path, String value) {
    return client
        .send(HttpMethod.PUT, address, path, value, TIMEOUT_MS)
        .thenApply(
            JsonClient.decoding(
                errors, "store reply to a write", this::writeResult, MALFORMED_WRITE));
  }

  private WriteResult writeResult(HttpReply reply) {
    if (reply.isSuccess()) {
      return new WriteResult.Written(Json.read(reply.body(), StoreRevision.class).revision());
    }
    if (reply.status() == CONFLICT) {
      return new WriteResult.Conflict();
    }
    meters.failed();
    return new WriteResult.Unknown(reply.body());
  }

  @Override
  public CompletableFuture<ReadResult> watch(String key, long knownRevision, long waitMs) {
    meters.watch();
    String path = path(key) + "?watch=" + knownRevision + "&waitMs=" + waitMs;
    return client
        .get(address, path, waitMs + WATCH_EXTRA_TIMEOUT_MS)
        .thenApply(
            JsonClient.decoding(errors, "store reply on " + key, this::readResult, MALFORMED_READ));
  }

  private static String path(String key) {
    return "/kv/" + key;
  }
}
