package org.plantainloom.program.gateway;

import com.linecorp.armeria.server.Server;
import java.io.IOException;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.program.BoundAddress;
import org.plantainloom.program.CommonSettings;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.StopSignal;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.transport.gateway.GatewayService;
import org.plantainloom.transport.gateway.RouteWatcher;
import org.plantainloom.transport.gateway.UpstreamClient;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.ProcessServer;
import org.plantainloom.transport.http.Readiness;
import org.plantainloom.transport.node.MembershipAgent;
import org.plantainloom.transport.platform.HttpKeyValueStore;

/** A running gateway, and its planned stop. */
final class GatewayProcess {
  // The balancer has to see the failing readiness before the server may refuse connections.
  private static final long BALANCER_NOTICE_MS = 1_500;
  private static final long MAX_REQUEST_MS = 65_000;

  private final ProcessContext process;
  private final Readiness readiness = new Readiness();
  private final JsonClient client;
  private final Server server;
  private final MembershipAgent membership;
  private final RouteWatcher routes;
  private final UpstreamClient upstream = new UpstreamClient();

  private GatewayProcess(GatewaySettings settings) throws IOException {
    CommonSettings common = settings.common();
    this.process = ProcessContext.create(common.name());
    this.client = JsonClient.create(process.clock(), process.metrics());
    long seed = common.name().hashCode() * 31L + process.nowMs();
    Router router = new Router(settings.zone(), settings.region(), settings.limits(), seed);
    this.server =
        ProcessServer.builder(BoundAddress.resolved(common.listen()), process, readiness)
            .maxRequestLength(GatewayService.MAX_REQUEST_BYTES)
            .requestTimeoutMillis(MAX_REQUEST_MS)
            .serviceUnder("/", new GatewayService(process, router, upstream))
            .build();
    server.start().join();
    String address = BoundAddress.of(common, server);
    MemberRecord self =
        new MemberRecord(
            new MemberId(common.name() + "-" + process.nowMs()),
            MemberRole.GATEWAY,
            address,
            settings.zone(),
            false);
    KeyValueStore store = new HttpKeyValueStore(client, settings.store(), process.metrics());
    this.membership = new MembershipAgent(process, store, self);
    this.routes = new RouteWatcher(process, membership, client, router, readiness);
    BoundAddress.publish(common, address);
    process.record(EventKind.PROCESS_STARTED, common.name(), address);
  }

  static ExitCode run(GatewaySettings settings) throws IOException {
    settings.common().logLevel().apply();
    GatewayProcess gateway = new GatewayProcess(settings);
    StopSignal.onSignal(gateway::stop);
    return ExitCode.OK;
  }

  private void stop() throws InterruptedException {
    process.record(EventKind.PROCESS_LEAVING, process.name(), "planned stop");
    readiness.set(false);
    membership.leave();
    Thread.sleep(BALANCER_NOTICE_MS);
    server.stop().join();
    process.record(EventKind.PROCESS_STOPPED, process.name(), "all requests answered");
    routes.close();
    membership.close();
    upstream.close();
    client.close();
  }
}
