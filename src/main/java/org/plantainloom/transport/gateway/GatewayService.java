package org.plantainloom.transport.gateway;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.transport.http.ProcessContext;

/** Takes callers' requests and answers each one once. */
public final class GatewayService implements HttpService {
  /** Largest request body, in bytes; larger ones are refused with 413. */
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
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
    return HttpResponse.of(
        request
            .aggregate()
            .thenCompose(
                whole ->
                    new RequestRun(process, router, upstream, budgets, meters, whole, ctx).run()));
  }
}
