package org.plantainloom.platform;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.jboss.logging.Logger;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.QueueConfig;
import org.plantainloom.transport.dispatch.JobReply;
import org.plantainloom.transport.dispatch.Node;

/** Callers' requests: jobs handed in, asked for and cancelled, and the lengths of queues. */
public final class JobHttpService implements HttpService {
  private static final Logger LOG = Logger.getLogger(JobHttpService.class);
  private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

  /** A store that refuses is usually back within this time; seconds. */
  private static final int RETRY_AFTER_S = 1;

  private final Node node;
  private final OwnerQueries owner;

  /** Creates the service. */
  public JobHttpService(Node node, PlatformHttpClient client) {
    this.node = node;
    this.owner = new OwnerQueries(node, client);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
    return HttpResponse.of(request.aggregate().thenCompose(this::answer));
  }

  private CompletableFuture<HttpResponse> answer(AggregatedHttpRequest request) {
    ClusterConfig config = node.config();
    if (!config.isKnown()) {
      return later("", "no configuration yet");
    }
    String host = host(request);
    Optional<QueueConfig> queue = config.route(host, request.path());
    if (queue.isEmpty()) {
      LOG.infof(
          "event=no-queue host=%s path=%s version=%d", host, request.path(), config.version());
      return done(HttpStatus.NOT_FOUND, "");
    }
    String id = request.path().substring(queue.get().pathPrefix().length());
    return switch (request.method()) {
      case POST -> submit(config, queue.get(), id, request);
      case GET -> id.isEmpty() ? pending(queue.get()) : status(id);
      case DELETE -> cancel(id);
      default -> done(HttpStatus.METHOD_NOT_ALLOWED, "");
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
      ClusterConfig config, QueueConfig queue, String id, AggregatedHttpRequest request) {
    if (request.content().length() > config.maxBodyBytes()) {
      LOG.infof("event=refused id=%s reason=body of %d bytes", id, request.content().length());
      return done(HttpStatus.REQUEST_ENTITY_TOO_LARGE, "");
    }
    Optional<JobSpec> spec =
        JOB_ID.matcher(id).matches()
            ? JobJson.job(id, queue.name(), request.contentUtf8(), System.currentTimeMillis())
            : Optional.empty();
    if (spec.isEmpty()) {
      LOG.infof("event=refused id=%s queue=%s reason=malformed", id, queue.name());
      return done(HttpStatus.BAD_REQUEST, "{\"error\":\"expected a job under 16 hex digits\"}");
    }
    return node.submit(spec.get()).thenCompose(reply -> answer(reply, "{}"));
  }

  private CompletableFuture<HttpResponse> cancel(String id) {
    return node.cancel(id).thenCompose(reply -> answer(reply, "{}"));
  }

  private CompletableFuture<HttpResponse> pending(QueueConfig queue) {
    return owner.pending(queue.name()).thenCompose(JobHttpService::doneOrUnavailable);
  }

  static CompletableFuture<HttpResponse> doneOrUnavailable(Optional<String> body) {
    return body.isPresent() ? done(HttpStatus.OK, body.get()) : unavailable();
  }

  private CompletableFuture<HttpResponse> status(String id) {
    return owner
        .state(id)
        .thenCompose(known -> known.isPresent() ? done(HttpStatus.OK, known.get()) : kept(id));
  }

  private CompletableFuture<HttpResponse> kept(String id) {
    return node.status(id)
        .thenCompose(reply -> answer(reply, reply.status().map(JobJson::status).orElse("")));
  }

  private static CompletableFuture<HttpResponse> answer(JobReply reply, String body) {
    return switch (reply.kind()) {
      case DONE -> done(HttpStatus.OK, body);
      case NO_SUCH_JOB -> done(HttpStatus.GONE, "");
      case UNAVAILABLE -> unavailable();
      case UNKNOWN -> done(HttpStatus.GATEWAY_TIMEOUT, "");
    };
  }

  private static CompletableFuture<HttpResponse> later(String id, String reason) {
    LOG.infof("event=refused id=%s reason=%s", id, reason);
    return unavailable();
  }

  static CompletableFuture<HttpResponse> unavailable() {
    ResponseHeaders headers =
        ResponseHeaders.of(
            HttpStatus.SERVICE_UNAVAILABLE, HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_S);
    return CompletableFuture.completedFuture(HttpResponse.of(headers));
  }

  static CompletableFuture<HttpResponse> done(HttpStatus status, String body) {
    return CompletableFuture.completedFuture(
        body.isEmpty()
            ? HttpResponse.of(ResponseHeaders.of(status))
            : HttpResponse.of(status, MediaType.JSON, body));
  }
}
