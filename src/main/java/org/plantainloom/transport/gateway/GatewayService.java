package org.plantainloom.transport.gateway;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.transport.http.ProcessContext;

/** Forwards callers' requests to the upstreams and replies to each exactly once. */
public final class GatewayService implements HttpService {
  /** Largest request body in bytes; larger ones are rejected with status 413. */
  public static final long MAX_REQUEST_BYTES = 1L << 20;

  private final ProcessContext process;
  private final Router router;
  private final UpstreamClient upstream;
  private final RetryBudgets budgets = new RetryBudgets();
  private final GatewayMeters meters;

  /** Creates the service. */
  public GatewayService(ProcessContext process, Router router, UpstreamClient upstream) {
    this.process = process;
    this.router = router;
    this.upstream = upstream;
    this.meters = new GatewayMeters(process.metrics());
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    return HttpResponse.of(
        request
            .aggregate()
            .thenCompose(
                aggregated ->
                    new ProxiedRequest(
                            process, router, upstream, budgets, meters, aggregated, context)
                        .execute()));
  }
}
