package org.plantainloom.support;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.plantainloom.coordination.plan.Route;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.coordination.routing.SlotSharingPolicy;
import org.plantainloom.protocol.Headers;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.ZoneName;
import org.plantainloom.transport.gateway.GatewayService;
import org.plantainloom.transport.gateway.UpstreamClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.ProcessServer;
import org.plantainloom.transport.http.Readiness;

/** Gateway server on a loopback port with a fixed route table. */
public final class GatewayFixture implements AutoCloseable {
  private static final String SERVICE = "hengtai/leafweigh";

  private final UpstreamClient upstream = new UpstreamClient();
  private final ProcessContext process = ProcessContext.create("gateway");
  private final Server server;

  private GatewayFixture(List<Route> routes) {
    Router router = new Router(new ZoneName("lugu"), "nantou", SlotSharingPolicy.LOCAL, 1);
    router.updateRoutes(new RouteTable(1, 1, 1, routes));
    this.server =
        ProcessServer.builder(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                process,
                new Readiness())
            .maxRequestLength(GatewayService.MAX_REQUEST_BYTES)
            .serviceUnder("/", new GatewayService(process, router, upstream))
            .build();
    server.start().join();
  }

  /** Starts a gateway that routes one service to a replica at each of the given addresses. */
  public static GatewayFixture start(String... addresses) {
    List<Route> routes = new ArrayList<>();
    for (String address : addresses) {
      TaskId task = new TaskId(new TeamId("hengtai"), "leafweigh", routes.size());
      WorkerId worker = new WorkerId("worker-" + routes.size());
      routes.add(
          new Route(
              SERVICE, new TaskRef(task, 1), worker, address, new ZoneName("lugu"), "nantou", 8));
    }
    return new GatewayFixture(routes);
  }

  /** Sends a request without a body and waits for the response. */
  public AggregatedHttpResponse send(HttpMethod method, String deadlineMs) {
    RequestHeaders headers =
        RequestHeaders.builder(method, "/" + SERVICE + "/readings")
            .set(Headers.REQUEST_ID, "request-1")
            .set(Headers.DEADLINE_MS, deadlineMs)
            .build();
    return client().execute(headers).aggregate().join();
  }

  /** Sends a POST request with the given body and waits for the response. */
  public AggregatedHttpResponse send(byte[] body) {
    return client().post("/" + SERVICE + "/readings", body).aggregate().join();
  }

  private WebClient client() {
    return WebClient.of("h1c://127.0.0.1:" + server.activeLocalPort());
  }

  @Override
  public void close() {
    Servers.stopInBackground(server);
    upstream.close();
  }
}
