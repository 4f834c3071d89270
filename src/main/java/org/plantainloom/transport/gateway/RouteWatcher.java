package org.plantainloom.transport.gateway;

import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.EventKind;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.Readiness;
import org.plantainloom.transport.node.MembershipAgent;
import org.plantainloom.transport.node.PeerPaths;

/**
 * Long-polls the planner for new routes; the latest ones stay in force while it does not respond.
 */
public final class RouteWatcher implements AutoCloseable {
  private static final String SOURCE = "route table of the planner";
  private static final long TICK_MS = 200;
  private static final long POLL_WAIT_MS = 5_000;
  private static final long TIMEOUT_MARGIN_MS = 1_000;

  private final ProcessContext process;
  private final MembershipAgent membership;
  private final JsonClient client;
  private final Router router;
  private final Readiness readiness;
  private final EventLoop eventLoop;
  private final DecodeErrorLog errors = new DecodeErrorLog();
  private boolean pollPending;

  /** Starts polling. */
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
    this.eventLoop = EventLoop.start("routes", TICK_MS, this::tick);
  }

  private void tick() {
    if (pollPending) {
      return;
    }
    membership.membership().plannerAddress().ifPresent(this::poll);
  }

  private void poll(String planner) {
    pollPending = true;
    RouteTable known = router.table();
    String path =
        PeerPaths.ROUTES
            + "?epoch="
            + known.plannerEpoch()
            + "&version="
            + known.version()
            + "&waitMs="
            + POLL_WAIT_MS;
    eventLoop.onResult(client.get(planner, path, POLL_WAIT_MS + TIMEOUT_MARGIN_MS), this::onReply);
  }

  private void onReply(HttpReply reply) {
    pollPending = false;
    if (!reply.isSuccess() || reply.body().isEmpty()) {
      return;
    }
    RouteTable table;
    try {
      table = Json.read(reply.body(), RouteTable.class);
      errors.readable(SOURCE);
    } catch (MalformedMessageException e) {
      errors.failed(SOURCE, e);
      return;
    }
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
    eventLoop.close();
  }
}
