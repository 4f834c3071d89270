package org.plantainloom.platform;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.regex.Pattern;
import org.jboss.logging.Logger;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.QueueConfig;
import org.plantainloom.transport.dispatch.JobReply;
import org.plantainloom.transport.dispatch.Node;

/**
 * HTTP API for callers: submits jobs, returns their status, cancels them and returns the number of
 * pending jobs of a queue.
 */
public final class JobHttpService implements HttpService {
  private static final Logger LOG = Logger.getLogger(JobHttpService.class);
  private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

  /** A store that rejects requests usually accepts them again within this time, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  /** The same for a cluster that can keep no more jobs until some have ended, in seconds. */
  private static final int OVERLOADED_RETRY_AFTER_S = 5;

  private final Node node;
  private final OwnerQueries ownerQueries;

  /** Creates the service. */
  public JobHttpService(Node node, PlatformHttpClient client) {
    this.node = node;
    this.ownerQueries = new OwnerQueries(node, client);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
    return HttpResponse.of(
        request.aggregate().thenCompose(aggregated -> handle(aggregated, ctx.eventLoop())));
  }

  private CompletableFuture<HttpResponse> handle(AggregatedHttpRequest request, Executor executor) {
    CompletableFuture<Optional<ClusterConfig>> current = node.currentConfig();
    return current.isDone()
        ? current.thenCompose(config -> route(request, config))
        : current.thenComposeAsync(config -> route(request, config), executor);
  }

  /**
   * Handles a request by the configuration in force. While that cannot be found out, requests about
   * a job of a known queue are served all the same, as their outcome depends on the job only.
   *
   * @param current the configuration in force; empty if the store does not tell
   */
  private CompletableFuture<HttpResponse> route(
      AggregatedHttpRequest request, Optional<ClusterConfig> current) {
    ClusterConfig config = current.orElseGet(node::knownConfig);
    if (!config.isKnown()) {
      return rejectUnavailable("", "no configuration read from the store yet");
    }
    Optional<QueueConfig> queue = config.route(host(request), request.path());
    String jobId =
        queue.map(found -> request.path().substring(found.pathPrefix().length())).orElse("");
    boolean ofJob = !jobId.isEmpty() && request.method() != HttpMethod.POST;
    if (current.isEmpty() && !ofJob) {
      return rejectUnavailable(
          jobId,
          "the configuration was known to be the newest one " + node.configAgeMs() + " ms ago");
    }
    if (queue.isEmpty()) {
      LOG.infof(
          "event=no-queue host=%s path=%s version=%d knownMsAgo=%d",
          host(request), request.path(), config.version(), node.configAgeMs());
      return respond(HttpStatus.NOT_FOUND, "");
    }
    return switch (request.method()) {
      case POST -> submit(config, queue.get(), jobId, request);
      case GET -> jobId.isEmpty() ? pending(queue.get()) : status(jobId);
      case DELETE -> cancel(jobId);
      default -> respond(HttpStatus.METHOD_NOT_ALLOWED, "");
    };
  }

  private static String host(AggregatedHttpRequest request) {
    String authority = request.headers().get(HttpHeaderNames.HOST, request.headers().authority());
    if (authority == null) {
      return "";
    }
    int colon = authority.indexOf(':');
    return colon < 0 ? authority : authority.substring(0, colon);
  }

  private CompletableFuture<HttpResponse> submit(
      ClusterConfig config, QueueConfig queue, String jobId, AggregatedHttpRequest request) {
    if (request.content().length() > config.maxBodyBytes()) {
      LOG.infof(
          "event=refused id=%s reason=body of %d bytes is too large",
          jobId, request.content().length());
      return respond(HttpStatus.REQUEST_ENTITY_TOO_LARGE, "");
    }
    Optional<JobSpec> spec =
        JOB_ID.matcher(jobId).matches()
            ? JobJson.job(jobId, queue.name(), request.contentUtf8(), System.currentTimeMillis())
            : Optional.empty();
    if (spec.isEmpty()) {
      LOG.infof("event=refused id=%s queue=%s reason=malformed job id or job", jobId, queue.name());
      return respond(HttpStatus.BAD_REQUEST, "{\"error\":\"expected a job under 16 hex digits\"}");
    }
    return node.submit(spec.get()).thenCompose(reply -> toResponse(reply, "{}"));
  }

  private CompletableFuture<HttpResponse> cancel(String jobId) {
    return node.cancel(jobId).thenCompose(reply -> toResponse(reply, "{}"));
  }

  private CompletableFuture<HttpResponse> pending(QueueConfig queue) {
    return ownerQueries.pending(queue.name()).thenCompose(JobHttpService::okOrUnavailable);
  }

  static CompletableFuture<HttpResponse> okOrUnavailable(Optional<String> body) {
    return body.isPresent() ? respond(HttpStatus.OK, body.get()) : unavailable();
  }

  private CompletableFuture<HttpResponse> status(String jobId) {
    return ownerQueries
        .status(jobId)
        .thenCompose(
            status ->
                status.isPresent() ? respond(HttpStatus.OK, status.get()) : storedStatus(jobId));
  }

  private CompletableFuture<HttpResponse> storedStatus(String jobId) {
    return node.status(jobId)
        .thenCompose(reply -> toResponse(reply, reply.status().map(JobJson::status).orElse("")));
  }

  private static CompletableFuture<HttpResponse> toResponse(JobReply reply, String body) {
    return switch (reply.kind()) {
      case DONE -> respond(HttpStatus.OK, body);
      case NO_SUCH_JOB -> respond(HttpStatus.GONE, "");
      case UNAVAILABLE -> unavailable();
      case OVERLOADED -> unavailable(OVERLOADED_RETRY_AFTER_S);
      case UNKNOWN -> respond(HttpStatus.GATEWAY_TIMEOUT, "");
    };
  }

  private static CompletableFuture<HttpResponse> rejectUnavailable(String jobId, String reason) {
    LOG.infof("event=refused id=%s reason=%s", jobId, reason);
    return unavailable();
  }

  static CompletableFuture<HttpResponse> unavailable() {
    return unavailable(RETRY_AFTER_S);
  }

  private static CompletableFuture<HttpResponse> unavailable(int retryAfterS) {
    ResponseHeaders headers =
        ResponseHeaders.of(
            HttpStatus.SERVICE_UNAVAILABLE, HttpHeaderNames.RETRY_AFTER, retryAfterS);
    return CompletableFuture.completedFuture(HttpResponse.of(headers));
  }

  static CompletableFuture<HttpResponse> respond(HttpStatus status, String body) {
    return CompletableFuture.completedFuture(
        body.isEmpty()
            ? HttpResponse.of(ResponseHeaders.of(status))
            : HttpResponse.of(status, MediaType.JSON, body));
  }
}
