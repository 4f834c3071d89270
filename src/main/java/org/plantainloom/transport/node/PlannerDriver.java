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
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;

/** Plans while this scheduler is the planner: reads, places, and exchanges with the rack owners. */
public final class PlannerDriver implements AutoCloseable {
  private static final long TICK_MS = 100;
  private static final long EXCHANGE_MS = 300;
  private static final long EXCHANGE_TIMEOUT_MS = 2_000;
  private static final long SWEEP_MS = 1_000;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final JsonClient client;
  private final MemberId self;
  private final Planner planner;
  private final DocumentLoader loader;
  private final RouteFeed routes;
  private final EventLoop duty;
  private final Timer roundTimer;
  private final Map<String, Set<RackId>> racksByAddress = new HashMap<>();
  private final Set<String> exchanging = new HashSet<>();
  private Membership membership = Membership.empty();
  private boolean planning;
  private long lastExchangeMs;
  private long lastSweepMs;

  /** Starts the duty; it plans nothing until this scheduler is elected. */
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
    this.roundTimer = process.metrics().timer("planner.round");
    this.duty = EventLoop.start("planner", TICK_MS, this::tick);
    this.loader = new DocumentLoader(process.time(), store, planner, duty);
    this.routes = new RouteFeed(duty);
  }

  /** Takes a new view of the members, and with it who plans. */
  public void membershipSeen(Membership newMembership) {
    duty.execute(
        () -> {
          membership = newMembership;
          Optional<PlannerRecord> mine =
              newMembership.planner().filter(p -> p.owner().equals(self));
          if (mine.isPresent() && (!planning || planner.epoch() != mine.get().epoch())) {
            start(mine.get().epoch());
          } else if (mine.isEmpty() && planning) {
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
    routes.close();
    process.record(EventKind.PLANNER_LOST, self, "epoch " + planner.epoch());
  }

  /** Takes a new listing of the VMs. */
  public void vmListSeen(VmListing listing) {
    duty.execute(() -> planner.updateVmList(listing));
  }

  /** Takes a new reading of the configuration index. */
  public void indexSeen(IndexReading reading) {
    duty.execute(
        () -> {
          planner.updateIndex(reading.index());
          tick();
        });
  }

  /** Reads a team's job intents again; returns false if this scheduler does not plan. */
  public CompletableFuture<Boolean> jobsChanged(TeamId team) {
    return CompletableFuture.supplyAsync(
        () -> {
          if (planning) {
            loader.readJobs(team);
          }
          return planning;
        },
        duty);
  }

  /** Returns the current state, or empty if this scheduler does not plan. */
  public CompletableFuture<Optional<PlannerSnapshot>> snapshot() {
    return CompletableFuture.supplyAsync(
        () -> planning ? Optional.of(planner.snapshot()) : Optional.empty(), duty);
  }

  /**
   * Returns a table newer than the known one as soon as there is one.
   *
   * @return the table, or empty after the wait or if this scheduler does not plan
   */
  public CompletableFuture<Optional<RouteTable>> routesAfter(
      long knownEpoch, long knownVersion, long waitMs) {
    CompletableFuture<Optional<RouteTable>> answer = new CompletableFuture<>();
    duty.execute(
        () -> {
          if (planning) {
            routes.await(knownEpoch, knownVersion, answer);
          } else {
            answer.complete(Optional.empty());
          }
        });
    return answer.completeOnTimeout(Optional.empty(), waitMs, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    if (!planning) {
      return;
    }
    long nowMs = process.nowMs();
    loader.loadMissing();
    if (nowMs - lastSweepMs > SWEEP_MS) {
      lastSweepMs = nowMs;
      loader.sweepJobs();
    }
    plan(nowMs);
    if (nowMs - lastExchangeMs >= EXCHANGE_MS) {
      exchangeAll();
    }
    if (!racksByAddress.isEmpty()) {
      routes.offer(planner.routes(membership.view().gateways()));
    }
  }

  private void plan(long nowMs) {
    Timer.Context timing = roundTimer.time();
    List<TasksWrite> writes = planner.nextWrites(nowMs);
    timing.stop();
    writes.forEach(this::write);
    planner.drainEvents().forEach(e -> process.record(e.kind(), e.subject(), e.detail()));
  }

  private void write(TasksWrite write) {
    duty.onResult(
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
    if (!planning || !exchanging.add(address)) {
      return;
    }
    Set<RackId> racks = racksByAddress.getOrDefault(address, Set.of());
    ExchangeRequest request =
        new ExchangeRequest(planner.plansFor(racks), planner.statusVersions(racks));
    long epoch = planner.epoch();
    String body = Json.write(request);
    duty.onResult(
        client.send(HttpMethod.POST, address, PeerPaths.EXCHANGE, body, EXCHANGE_TIMEOUT_MS),
        reply -> {
          exchanging.remove(address);
          if (reply.isSuccess() && planning && planner.epoch() == epoch) {
            statusesSeen(address, Json.read(reply.body(), ExchangeReply.class));
          }
        });
  }

  private void statusesSeen(String address, ExchangeReply reply) {
    reply.news().forEach(planner::updateStatus);
    racksByAddress.put(address, new TreeSet<>(reply.owned()));
  }

  @Override
  public void close() {
    duty.close();
  }
}
