package org.plantainloom.platform;

import com.linecorp.armeria.common.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.transport.dispatch.Node;

/**
 * Queries that only the owner, the node that controls the workers, can answer: the number of
 * pending jobs of a queue, and the status of a job without a read from the store.
 *
 * <p>Other nodes forward these queries to the owner's control address.
 */
public final class OwnerQueries {
  /** Path on the control address for the number of pending jobs of the queue named after it. */
  private static final String PENDING_PATH = "/pending/";

  /** Path on the control address for the status of the job whose id follows. */
  private static final String STATE_PATH = "/state/";

  /**
   * A round trip takes at most 16 ms. After this timeout the status of a job is read from the
   * store.
   */
  private static final long TIMEOUT_MS = 400;

  private final Node node;
  private final PlatformHttpClient client;

  OwnerQueries(Node node, PlatformHttpClient client) {
    this.node = node;
    this.client = client;
  }

  /** Returns the number of pending jobs of a queue as JSON; empty if no owner responds. */
  CompletableFuture<Optional<String>> pending(String queue) {
    return localPending(node, queue)
        .thenCompose(
            local -> local.isPresent() ? completed(local) : queryOwner(PENDING_PATH + queue));
  }

  /**
   * Returns the status of a job as JSON; empty if no owner responds or the owner has no such job.
   */
  CompletableFuture<Optional<String>> status(String jobId) {
    return localStatus(node, jobId)
        .thenCompose(
            local -> local.isPresent() ? completed(local) : queryOwner(STATE_PATH + jobId));
  }

  private static CompletableFuture<Optional<String>> completed(Optional<String> body) {
    return CompletableFuture.completedFuture(body);
  }

  private CompletableFuture<Optional<String>> queryOwner(String path) {
    Optional<String> owner = node.ownerAddress();
    if (owner.isEmpty()) {
      return completed(Optional.empty());
    }
    return client
        .get(owner.get(), path, TIMEOUT_MS)
        .thenApply(reply -> reply.isOk() ? Optional.of(reply.body()) : Optional.empty());
  }

  private static CompletableFuture<Optional<String>> localPending(Node node, String queue) {
    return node.pendingJobs(queue).thenApply(count -> count.map(JobJson::pending));
  }

  private static CompletableFuture<Optional<String>> localStatus(Node node, String jobId) {
    return node.statusAsOwner(jobId).thenApply(status -> status.map(JobJson::status));
  }

  /** Answers a query of another node; empty if the path is not that of a query. */
  public static Optional<HttpResponse> answer(Node node, String path) {
    if (path.startsWith(PENDING_PATH)) {
      return Optional.of(toResponse(localPending(node, path.substring(PENDING_PATH.length()))));
    } else if (path.startsWith(STATE_PATH)) {
      return Optional.of(toResponse(localStatus(node, path.substring(STATE_PATH.length()))));
    }
    return Optional.empty();
  }

  private static HttpResponse toResponse(CompletableFuture<Optional<String>> body) {
    return HttpResponse.of(body.thenCompose(JobHttpService::okOrUnavailable));
  }
}
