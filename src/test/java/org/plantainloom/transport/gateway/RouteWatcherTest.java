package org.plantainloom.transport.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.plantainloom.coordination.plan.Route;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.coordination.routing.Router;
import org.plantainloom.coordination.routing.SlotSharingPolicy;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.ZoneName;
import org.plantainloom.support.Await;
import org.plantainloom.support.CapturedLog;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.ScriptedReplies;
import org.plantainloom.support.Teams;
import org.plantainloom.support.WatchableStore;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.Readiness;
import org.plantainloom.transport.node.MembershipAgent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the watcher with damaged members and route tables. */
public class RouteWatcherTest {
  private static final int POLLS = 3;
  private static final ZoneName LUGU = new ZoneName("lugu");
  private static final MemberId PLANNER = new MemberId("scheduler-1");
  private static final String SERVICE = "hengtai/leafweigh";
  private static final Route ROUTE =
      new Route(
          SERVICE,
          new TaskRef(new TaskId(Teams.HENGTAI, "leafweigh", 0), 1),
          new WorkerId("w"),
          "127.0.0.1:1",
          LUGU,
          "nantou",
          8);
  private static final String TABLE = Json.write(new RouteTable(1, 1, 1, List.of(ROUTE)));

  private static String with(String part, String replacement) {
    assertThat(TABLE).contains(part);
    return TABLE.replace(part, replacement);
  }

  /** A gateway's watcher and the store of its members. */
  private static final class Fixture implements AutoCloseable {
    private final WatchableStore store = new WatchableStore();
    private final ProcessContext process = ProcessContext.create("gateway-1");
    private final JsonClient client = JsonClient.create(process.clock(), process.metrics());
    private final Router router = new Router(LUGU, "nantou", SlotSharingPolicy.LOCAL, 1);
    private final MembershipAgent membership;
    private final RouteWatcher watcher;

    Fixture(String plannerAddress) {
      store.put(Keys.PLANNER, Json.write(new PlannerRecord(PLANNER, 1)));
      setPlannerAddress(plannerAddress);
      MemberRecord self =
          new MemberRecord(
              new MemberId("gateway-1"), MemberRole.GATEWAY, "127.0.0.1:1", LUGU, false);
      this.membership = new MembershipAgent(process, store, self);
      this.watcher = new RouteWatcher(process, membership, client, router, new Readiness());
    }

    void setPlannerAddress(String address) {
      store.put(
          Keys.member(PLANNER),
          Json.write(new MemberRecord(PLANNER, MemberRole.SCHEDULER, address, LUGU, false)));
    }

    @Override
    public void close() {
      watcher.close();
      membership.close();
      client.close();
    }
  }

  @Test
  public void should_follow_the_planner_after_its_registration_had_a_port_out_of_range() {
    // given
    try (ScriptedReplies planner = ScriptedReplies.start(path -> TABLE);
        Fixture gateway = new Fixture("127.0.0.1:70000")) {
      AtomicInteger listings = new AtomicInteger();
      gateway.membership.addListener(membership -> listings.incrementAndGet());
      assertThat(Await.until(() -> listings.get() > 1)).isTrue();
      // when
      gateway.setPlannerAddress(planner.address());
      // then
      assertThat(Await.until(() -> gateway.router.hasRoutes(SERVICE))).isTrue();
    }
  }

  @DataProvider
  public static Object[][] damaged() {
    return DamagedEntries.ALL.stream()
        .filter(entry -> !entry.isEmpty())
        .map(entry -> new Object[] {entry})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "damaged")
  public void should_follow_the_planner_after_an_unreadable_table(String damaged) {
    assertFollowsAfter(damaged);
  }

  @DataProvider
  public static Object[][] damagedTables() {
    return new Object[][] {
      {with("\"plannerEpoch\":1", "\"plannerEpoch\":9223372036854775807")},
      {with("\"version\":1", "\"version\":9223372036854775807")},
      {with("\"routes\":[", "\"routes\":[null,")},
      {with("\"zone\":\"lugu\"", "\"zone\":null")},
      {with("\"ref\":{\"task\":\"hengtai/leafweigh/0\",\"incarnation\":1}", "\"ref\":null")},
      {with("\"127.0.0.1:1\"", "\"127.0.0.1:70000\"")},
    };
  }

  @Test(dataProvider = "damagedTables")
  public void should_follow_the_planner_after_a_damaged_table(String damaged) {
    assertFollowsAfter(damaged);
  }

  private static void assertFollowsAfter(String damaged) {
    // given
    AtomicInteger polls = new AtomicInteger();
    AtomicReference<String> reply = new AtomicReference<>(damaged);
    try (ScriptedReplies planner =
            ScriptedReplies.start(
                path -> {
                  polls.incrementAndGet();
                  return reply.get();
                });
        CapturedLog log = CapturedLog.start();
        Fixture gateway = new Fixture(planner.address())) {
      // when
      boolean polled = Await.until(() -> polls.get() >= POLLS);
      // then
      assertThat(polled).as("log: %s", log.lines()).isTrue();
      assertThat(gateway.router.hasRoutes(SERVICE)).isFalse();
      assertThat(log.lines()).hasSize(1);
      // when
      reply.set(TABLE);
      // then
      assertThat(Await.until(() -> gateway.router.hasRoutes(SERVICE))).isTrue();
    }
  }
}
