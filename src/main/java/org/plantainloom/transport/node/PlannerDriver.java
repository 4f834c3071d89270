package org.plantainloom.transport.node;

import com.codahale.metrics.Timer;
import com.linecorp.armeria.common.HttpMethod;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainloom.coordination.plan.Planner;
import org.plantainloom.coordination.plan.PlannerPolicy;
import org.plantainloom.coordination.plan.PlannerSnapshot;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.coordination.plan.TasksWrite;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.protocol.message.ExchangeReply;
import org.plantainloom.protocol.message.ExchangeRequest;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.RackId;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WriteResult;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;

/**
 * Runs the planner while this scheduler is elected: reads the documents, writes the placements, and
 * exchanges plans and statuses with the rack owners.
 */
public final class PlannerDriver implements AutoCloseable {
  private static final long TICK_MS = 100;
  private static final long EXCHANGE_INTERVAL_MS = 300;
  private static final long EXCHANGE_TIMEOUT_MS = 2_000;
  private static final long JOBS_RELOAD_INTERVAL_MS = 1_000;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final JsonClient client;
  private final MemberId self;
  private final Planner planner;
  private final DocumentLoader loader;
  private final RoutePublisher routePublisher;
  private final EventLoop eventLoop;
  private final Timer planningTimer;
  private final DecodeErrorLog errors = new DecodeErrorLog();
  private final Map<String, Set<RackId>> racksByAddress = new HashMap<>();
  private final Set<String> pendingExchanges = new HashSet<>();
  private Membership membership = Membership.empty();
  private boolean planning;
  private long lastExchangeMs;
  private long lastJobsReloadMs;

  /** Starts the driver, which does not plan until this scheduler is elected. */
  public PlannerDriver(
      ProcessContext process,
      KeyValueStore store,
      JsonClient client,
      MemberId self,
      PlannerPolicy policy) {
    this.process = process;
    this.store = store;
    this.client = client;
    this.self = self;
    this.planner = new Planner(policy);
    this.planningTimer = process.metrics().timer("planner.round");
    this.eventLoop = EventLoop.start("planner", TICK_MS, this::tick);
    this.loader = new DocumentLoader(process.time(), store, planner, eventLoop);
    this.routePublisher = new RoutePublisher(eventLoop);
  }

  /** Starts or stops planning according to a new membership. */
  public void onMembership(Membership newMembership) {
    eventLoop.execute(
        () -> {
          membership = newMembership;
          Optional<PlannerRecord> ownRecord =
              newMembership.planner().filter(plannerRecord -> plannerRecord.owner().equals(self));
          if (ownRecord.isPresent() && (!planning || planner.epoch() != ownRecord.get().epoch())) {
            start(ownRecord.get().epoch());
          } else if (ownRecord.isEmpty() && planning) {
            stop();
          }
        });
  }

  private void start(long epoch) {
    planning = true;
    planner.startEpoch(epoch);
    loader.reset();
    racksByAddress.clear();
    process.record(EventKind.PLANNER_ELECTED, self, "epoch " + epoch);
    tick();
  }

  private void stop() {
    planning = false;
    routePublisher.releaseWaiters();
    process.record(EventKind.PLANNER_LOST, self, "epoch " + planner.epoch());
  }

  /** Passes a new listing of the VMs to the planner. */
  public void onVmList(VmListing listing) {
    eventLoop.execute(() -> planner.updateVmList(listing));
  }

  /** Passes a new reading of the configuration index to the planner. */
  public void onConfigIndex(ConfigIndexReading reading) {
    eventLoop.execute(
        () -> {
          planner.updateIndex(reading.index());
          tick();
        });
  }

  /** Reads a team's jobs document again; returns false if this scheduler is not the planner. */
  public CompletableFuture<Boolean> jobsChanged(TeamId team) {
    return CompletableFuture.supplyAsync(
        () -> {
          if (planning) {
            loader.readJobs(team);
          }
          return planning;
        },
        eventLoop);
  }

  /** Returns the planner's current state, or empty if this scheduler is not the planner. */
  public CompletableFuture<Optional<PlannerSnapshot>> snapshot() {
    return CompletableFuture.supplyAsync(
        () -> planning ? Optional.of(planner.snapshot()) : Optional.empty(), eventLoop);
  }

  /**
   * Waits for a route table that is newer than the known one.
   *
   * @return the table, or empty on timeout or if this scheduler is not the planner
   */
  public CompletableFuture<Optional<RouteTable>> routesAfter(
      long knownEpoch, long knownVersion, long waitMs) {
    CompletableFuture<Optional<RouteTable>> reply = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          if (planning) {
            routePublisher.awaitNewer(knownEpoch, knownVersion, reply);
          } else {
            reply.complete(Optional.empty());
          }
        });
    return reply.completeOnTimeout(Optional.empty(), waitMs, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    if (!planning) {
      return;
    }
    long nowMs = process.nowMs();
    loader.loadMissing();
    if (nowMs - lastJobsReloadMs > JOBS_RELOAD_INTERVAL_MS) {
      lastJobsReloadMs = nowMs;
      loader.reloadNextJobs();
    }
    plan(nowMs);
    if (nowMs - lastExchangeMs >= EXCHANGE_INTERVAL_MS) {
      exchangeAll();
    }
    if (!racksByAddress.isEmpty()) {
      routePublisher.publish(planner.routes(membership.view().gateways()));
    }
  }

  private void plan(long nowMs) {
    Timer.Context timing = planningTimer.time();
    List<TasksWrite> writes = planner.nextWrites(nowMs);
    timing.stop();
    writes.forEach(this::write);
    planner
        .drainEvents()
        .forEach(event -> process.record(event.kind(), event.subject(), event.detail()));
  }

  private void write(TasksWrite write) {
    eventLoop.onResult(
        store.compareAndSwap(
            Keys.tasks(write.team()), write.expectedRevision(), Json.write(write.next())),
        result -> {
          planner.handleWriteResult(write, result);
          if (result instanceof WriteResult.Written) {
            exchangeAll();
          }
        });
  }

  private void exchangeAll() {
    lastExchangeMs = process.nowMs();
    for (MemberRecord member : membership.view().members()) {
      if (member.role() == MemberRole.SCHEDULER) {
        exchange(member.address());
      }
    }
  }

  private void exchange(String address) {
    if (!planning || !pendingExchanges.add(address)) {
      return;
    }
    Set<RackId> racks = racksByAddress.getOrDefault(address, Set.of());
    ExchangeRequest request =
        new ExchangeRequest(planner.plansFor(racks), planner.statusVersions(racks));
    long epoch = planner.epoch();
    String body = Json.write(request);
    eventLoop.onResult(
        client.send(HttpMethod.POST, address, PeerPaths.EXCHANGE, body, EXCHANGE_TIMEOUT_MS),
        reply -> {
          pendingExchanges.remove(address);
          if (reply.isSuccess() && planning && planner.epoch() == epoch) {
            decodeExchangeReply(address, reply.body());
          }
        });
  }

  private void decodeExchangeReply(String address, String body) {
    String source = "exchange reply of " + address;
    try {
      onExchangeReply(address, Json.read(body, ExchangeReply.class));
      errors.readable(source);
    } catch (MalformedMessageException e) {
      errors.failed(source, e);
    }
  }

  private void onExchangeReply(String address, ExchangeReply reply) {
    reply.news().forEach(planner::updateStatus);
    racksByAddress.put(address, new TreeSet<>(reply.owned()));
  }

  @Override
  public void close() {
    eventLoop.close();
  }
}
