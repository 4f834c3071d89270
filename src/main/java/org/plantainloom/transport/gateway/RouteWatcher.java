package org.plantainloom.transport.gateway;

import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.EventKind;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.Readiness;
import org.plantainloom.transport.node.MembershipAgent;
import org.plantainloom.transport.node.PeerPaths;

/** Follows the planner's routes; the last ones stay in force while no planner answers. */
public final class RouteWatcher implements AutoCloseable {
  private static final long TICK_MS = 200;
  private static final long WAIT_MS = 5_000;
  private static final long MARGIN_MS = 1_000;

  private final ProcessContext process;
  private final MembershipAgent membership;
  private final JsonClient client;
  private final Router router;
  private final Readiness readiness;
  private final EventLoop duty;
  private boolean asking;

  /** Starts following. */
  public RouteWatcher(
      ProcessContext process,
      MembershipAgent membership,
      JsonClient client,
      Router router,
      Readiness readiness) {
    this.process = process;
    this.membership = membership;
    this.client = client;
    this.router = router;
    this.readiness = readiness;
    this.duty = EventLoop.start("routes", TICK_MS, this::tick);
  }

  private void tick() {
    if (asking) {
      return;
    }
    membership.membership().plannerAddress().ifPresent(this::ask);
  }

  private void ask(String planner) {
    asking = true;
    RouteTable known = router.table();
    String path =
        PeerPaths.ROUTES
            + "?epoch="
            + known.plannerEpoch()
            + "&version="
            + known.version()
            + "&waitMs="
            + WAIT_MS;
    duty.onResult(client.get(planner, path, WAIT_MS + MARGIN_MS), this::answered);
  }

  private void answered(HttpReply reply) {
    asking = false;
    if (!reply.isSuccess() || reply.body().isEmpty()) {
      return;
    }
    RouteTable table = Json.read(reply.body(), RouteTable.class);
    if (router.updateRoutes(table)) {
      process.record(
          EventKind.ROUTES_CHANGED,
          "routes",
          "epoch "
              + table.plannerEpoch()
              + " version "
              + table.version()
              + ": "
              + table.routes().size()
              + " replicas");
      readiness.set(true);
    }
    tick();
  }

  @Override
  public void close() {
    duty.close();
  }
}
