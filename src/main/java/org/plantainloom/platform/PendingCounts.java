package org.plantainloom.platform;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.transport.dispatch.Node;

/** Lengths of queues, which only the node that owns the workers knows. */
public final class PendingCounts {
  /** Path on the control address at which a node tells the length of a queue that it owns. */
  public static final String PATH = "/pending/";

  private static final long TIMEOUT_MS = 1_000;

  private final Node node;
  private final WireClient client;

  PendingCounts(Node node, WireClient client) {
    this.node = node;
    this.client = client;
  }

  CompletableFuture<HttpResponse> pending(String queue) {
    return node.pendingJobs(queue)
        .thenCompose(
            count ->
                count.isPresent()
                    ? FrontDoor.done(HttpStatus.OK, WireJobs.pending(count.get()))
                    : askOwner(queue));
  }

  private CompletableFuture<HttpResponse> askOwner(String queue) {
    Optional<String> owner = node.ownerAddress();
    if (owner.isEmpty()) {
      return FrontDoor.unavailable();
    }
    return client
        .get(owner.get(), PATH + queue, TIMEOUT_MS)
        .thenCompose(
            reply ->
                reply.isOk()
                    ? FrontDoor.done(HttpStatus.OK, reply.body())
                    : FrontDoor.unavailable());
  }

  /** Returns the answer for a queue if the node owns the workers. */
  public static HttpResponse own(Node node, String queue) {
    return HttpResponse.of(
        node.pendingJobs(queue)
            .thenCompose(
                count ->
                    count.isPresent()
                        ? FrontDoor.done(HttpStatus.OK, WireJobs.pending(count.get()))
                        : FrontDoor.unavailable()));
  }
}
