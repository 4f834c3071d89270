package org.plantainloom.platform;

import com.linecorp.armeria.common.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.transport.dispatch.Node;

/**
 * What only the node that owns the workers knows: lengths of queues, and states of jobs without a
 * call to the store. Other nodes ask it on its control address.
 */
public final class OwnerQueries {
  /** Path on the control address at which a node tells the length of a queue that it owns. */
  private static final String PENDING = "/pending/";

  /** Path on the control address at which a node tells the state of a job that it owns. */
  private static final String STATE = "/state/";

  /** The way there and back takes 16 ms at most; then the store is asked. */
  private static final long TIMEOUT_MS = 400;

  private final Node node;
  private final PlatformHttpClient client;

  OwnerQueries(Node node, PlatformHttpClient client) {
    this.node = node;
    this.client = client;
  }

  /** Returns the answer about the length of a queue; empty if no owner can be asked. */
  CompletableFuture<Optional<String>> pending(String queue) {
    return ownPending(node, queue)
        .thenCompose(own -> own.isPresent() ? completed(own) : askOwner(PENDING + queue));
  }

  /** Returns the answer about the state of a job; empty if no owner knows it. */
  CompletableFuture<Optional<String>> state(String jobId) {
    return ownState(node, jobId)
        .thenCompose(own -> own.isPresent() ? completed(own) : askOwner(STATE + jobId));
  }

  private static CompletableFuture<Optional<String>> completed(Optional<String> answer) {
    return CompletableFuture.completedFuture(answer);
  }

  private CompletableFuture<Optional<String>> askOwner(String path) {
    Optional<String> owner = node.ownerAddress();
    if (owner.isEmpty()) {
      return completed(Optional.empty());
    }
    return client
        .get(owner.get(), path, TIMEOUT_MS)
        .thenApply(reply -> reply.isOk() ? Optional.of(reply.body()) : Optional.empty());
  }

  private static CompletableFuture<Optional<String>> ownPending(Node node, String queue) {
    return node.pendingJobs(queue).thenApply(count -> count.map(JobJson::pending));
  }

  private static CompletableFuture<Optional<String>> ownState(Node node, String jobId) {
    return node.statusAsOwner(jobId).thenApply(status -> status.map(JobJson::status));
  }

  /** Answers another node's question; empty if the path holds none. */
  public static Optional<HttpResponse> answer(Node node, String path) {
    if (path.startsWith(PENDING)) {
      return Optional.of(response(ownPending(node, path.substring(PENDING.length()))));
    } else if (path.startsWith(STATE)) {
      return Optional.of(response(ownState(node, path.substring(STATE.length()))));
    }
    return Optional.empty();
  }

  private static HttpResponse response(CompletableFuture<Optional<String>> answer) {
    return HttpResponse.of(answer.thenCompose(JobHttpService::doneOrUnavailable));
  }
}
