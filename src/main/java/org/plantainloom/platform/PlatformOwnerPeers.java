package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.transport.dispatch.Node;
import org.plantainloom.transport.dispatch.OwnerPeers;
import org.plantainloom.transport.dispatch.OwnerRecord;

/** Asks other nodes, at their control address, to stop acting as owners; and answers them. */
public final class PlatformOwnerPeers implements OwnerPeers {
  /** Path on the control address, followed by the name of the node and the asking owner's term. */
  private static final String PATH = "/stop-ownership/";

  private static final String IDLE_FIELD = "idleMs";

  /** A round trip takes at most 16 ms; without an answer the node is asked again. */
  private static final long TIMEOUT_MS = 400;

  private final PlatformHttpClient client;

  /** Creates a client. */
  public PlatformOwnerPeers(PlatformHttpClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<Optional<Long>> stopOwnership(OwnerRecord owner, long term) {
    return client
        .post(owner.address(), PATH + owner.node() + "/" + term, "", TIMEOUT_MS)
        .thenApply(
            reply ->
                reply.isOk()
                    ? PlatformJson.parse(reply.body()).flatMap(PlatformOwnerPeers::idleMs)
                    : Optional.empty());
  }

  private static Optional<Long> idleMs(JsonNode body) {
    JsonNode idle = body.path(IDLE_FIELD);
    return idle.canConvertToLong() && idle.asLong() >= 0
        ? Optional.of(idle.asLong())
        : Optional.empty();
  }

  /** Answers another node; empty if the method and path are not those of such a request. */
  public static Optional<HttpResponse> answer(Node node, HttpMethod method, String path) {
    String prefix = PATH + node.name() + "/";
    if (method != HttpMethod.POST || !path.startsWith(prefix)) {
      return Optional.empty();
    }
    try {
      long term = Long.parseLong(path.substring(prefix.length()));
      return Optional.of(
          HttpResponse.of(node.stopOwnership(term).thenApply(PlatformOwnerPeers::response)));
    } catch (NumberFormatException e) {
      return Optional.of(HttpResponse.of(HttpStatus.BAD_REQUEST));
    }
  }

  private static HttpResponse response(long idleMs) {
    return HttpResponse.of(
        HttpStatus.OK, MediaType.JSON, PlatformJson.object().put(IDLE_FIELD, idleMs).toString());
  }
}
