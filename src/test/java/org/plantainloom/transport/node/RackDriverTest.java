package org.plantainloom.transport.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.rack.LeasePolicy;
import org.plantainloom.coordination.rack.RackCoordinator;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.Release;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.RunState;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.state.WorkloadKind;
import org.plantainloom.state.ZoneName;
import org.plantainloom.support.Await;
import org.plantainloom.support.CapturedLog;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.Teams;
import org.plantainloom.support.WatchableStore;
import org.plantainloom.support.WorkerEndpoint;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.platform.HttpWorkerControl;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the rack driver with workers and rack records that another writer has damaged. */
public class RackDriverTest {
  private static final int READS = 2;
  private static final MemberId SELF = new MemberId("scheduler-1");

  private static WorkerInfo at(String address, int index) {
    WorkerInfo worker = Fleets.worker("lugu", "nantou", 0, index, 0);
    return new WorkerInfo(
        worker.id(),
        worker.rack(),
        worker.zone(),
        worker.region(),
        address,
        worker.generation(),
        worker.capacity(),
        worker.slots(),
        worker.connections(),
        worker.leaving());
  }

  private static WorkerId id(int index) {
    return Fleets.worker("lugu", "nantou", 0, index, 0).id();
  }

  /** A driver that owns the racks of the listing, with a client to real workers. */
  private static final class Fixture implements AutoCloseable {
    private final ProcessContext process = ProcessContext.create("scheduler");
    private final JsonClient client = JsonClient.create(process.clock(), process.metrics());
    private final WatchableStore store;
    private final ConfigWatcher config;
    private final RackDriver driver;
    private final VmListing listing;

    Fixture(WatchableStore store, WorkerInfo... workers) {
      this.store = store;
      this.config = new ConfigWatcher(process, store);
      this.driver =
          new RackDriver(
              process,
              store,
              new HttpWorkerControl(client),
              new RackCoordinator(SELF, LeasePolicy.standard()),
              config);
      config.addListener(driver::onConfigIndex);
      MemberRecord self =
          new MemberRecord(SELF, MemberRole.SCHEDULER, "127.0.0.1:1", new ZoneName("lugu"), false);
      driver.onMembership(new Membership(new MembershipView(List.of(self)), Optional.empty()));
      this.listing = VmListing.of(process.nowMs(), List.of(workers));
    }

    void start() {
      driver.onVmList(listing);
    }

    boolean owns(RackId rack) {
      return store.value(Keys.rack(rack)).filter(r -> r.contains(SELF.value())).isPresent();
    }

    @Override
    public void close() {
      driver.close();
      config.close();
      client.close();
    }
  }

  /** Registrations of workers. */
  public static class Registrations {
    @DataProvider
    public static Object[][] addresses() {
      return new Object[][] {{"127.0.0.1:70000"}, {"127.0.0.1:1:1"}, {"a b:1"}, {""}};
    }

    @Test(dataProvider = "addresses")
    public void should_keep_polling_other_workers_when_one_address_is_unusable(String address) {
      // given
      try (WorkerEndpoint first = WorkerEndpoint.start(id(0));
          WorkerEndpoint third = WorkerEndpoint.start(id(2));
          Fixture fixture =
              new Fixture(
                  new WatchableStore(),
                  at(first.address(), 0),
                  at(address, 1),
                  at(third.address(), 2))) {
        // when
        fixture.start();
        // then
        assertThat(Await.until(() -> first.messages() > 1 && third.messages() > 1))
            .as("messages: %d and %d", first.messages(), third.messages())
            .isTrue();
      }
    }
  }

  /** Records of racks. */
  public static class RackRecords {
    private static final RackId ODD = new RackId("odd");
    private static final MemberId GONE = new MemberId("scheduler-gone");
    private static final TaskRef TASK = new TaskRef(new TaskId(Teams.HENGTAI, "leafweigh", 0), 1);
    private static final String RECORD =
        Json.write(
            new RackRecord(
                ODD,
                GONE,
                3,
                2,
                1_000,
                List.of(
                    new Commitment(
                        TASK,
                        new WorkerId("w"),
                        1,
                        new TaskLaunch(
                            WorkloadKind.SERVICE, new ResourceVector(4_000, 8_192, 0), 0, 0),
                        5)),
                List.of(new Release(TASK, new WorkerId("w"), ReleaseOutcome.EVICTED, 6))));

    private static String with(String part, String replacement) {
      assertThat(RECORD).contains(part);
      return RECORD.replace(part, replacement);
    }

    private static List<String> damaged() {
      return List.of(
          with("\"rack\":\"odd\"", "\"rack\":\"other\""),
          with("\"rack\":\"odd\",", ""),
          with("\"owner\":\"scheduler-gone\"", "\"owner\":null"),
          with("\"owner\":\"scheduler-gone\"", "\"owner\":\"\""),
          with("\"owner\":\"scheduler-gone\",", ""),
          with("\"epoch\":3", "\"epoch\":9223372036854775807"),
          with("\"epoch\":3", "\"epoch\":99999999999999999999"),
          with("\"epoch\":3", "\"epoch\":-3"),
          with("\"epoch\":3", "\"epoch\":3.7"),
          with("\"epoch\":3,", ""),
          with("\"plannerEpoch\":2", "\"plannerEpoch\":null"),
          with("\"renewalHorizonMs\":1000", "\"renewalHorizonMs\":\"1000\""),
          with("\"ref\":{\"task\":\"hengtai/leafweigh/0\",\"incarnation\":1}", "\"ref\":null"),
          with("\"task\":\"hengtai/leafweigh/0\"", "\"task\":null"),
          with("\"incarnation\":1", "\"incarnation\":-1"),
          with("\"worker\":\"w\"", "\"worker\":null"),
          with("\"generation\":1,", ""),
          with("\"launch\":{", "\"launch\":null,\"other\":{"),
          with("\"cpuMillis\":4000", "\"cpuMillis\":-4000"),
          with("\"kind\":\"SERVICE\"", "\"kind\":0"),
          with("\"checkpoint\":5", "\"checkpoint\":-5"),
          with("\"outcome\":\"EVICTED\"", "\"outcome\":null"),
          with("\"releases\":[", "\"releases\":[null,"),
          with("\"commitments\":[", "\"commitments\":[7,"));
    }

    private static WorkerInfo inRack(RackId rack, int index) {
      WorkerInfo worker = at("127.0.0.1:1", index);
      return new WorkerInfo(
          worker.id(),
          rack,
          worker.zone(),
          worker.region(),
          worker.address(),
          worker.generation(),
          worker.capacity(),
          worker.slots(),
          worker.connections(),
          worker.leaving());
    }

    @Test
    public void should_leave_racks_alone_whose_records_are_unreadable() {
      assertOwnsOtherRack(DamagedEntries.ALL);
    }

    @Test
    public void should_leave_racks_alone_whose_records_are_damaged() {
      assertOwnsOtherRack(damaged());
    }

    private static void assertOwnsOtherRack(List<String> entries) {
      // given
      WatchableStore store = new WatchableStore();
      RackId other = new RackId("other");
      List<RackId> racks = new ArrayList<>();
      List<WorkerInfo> workers = new ArrayList<>();
      for (String entry : entries) {
        RackId rack = new RackId("odd-" + racks.size());
        racks.add(rack);
        workers.add(inRack(rack, workers.size()));
        store.put(Keys.rack(rack), entry.replace("\"odd\"", '"' + rack.value() + '"'));
      }
      workers.add(inRack(other, workers.size()));
      try (CapturedLog log = CapturedLog.start();
          Fixture fixture = new Fixture(store, workers.toArray(WorkerInfo[]::new))) {
        // when
        fixture.start();
        boolean readAgain =
            Await.until(
                () -> racks.stream().allMatch(rack -> store.reads(Keys.rack(rack)) >= READS));
        // then
        assertThat(Await.until(() -> fixture.owns(other))).as("log: %s", log.lines()).isTrue();
        for (int i = 0; i < racks.size(); i++) {
          assertThat(store.value(Keys.rack(racks.get(i))))
              .contains(entries.get(i).replace("\"odd\"", '"' + racks.get(i).value() + '"'));
        }
        assertThat(readAgain).as("log: %s", log.lines()).isTrue();
        assertThat(log.lines())
            .hasSize(entries.size())
            .allMatch(line -> line.contains("racks/odd-"));
        // and a repaired record is used again
        racks.forEach(
            rack ->
                store.put(Keys.rack(rack), RECORD.replace("\"odd\"", '"' + rack.value() + '"')));
        assertThat(Await.until(() -> racks.stream().allMatch(fixture::owns))).isTrue();
      }
    }
  }

  /** Reports of workers. */
  public static class Reports {
    private static final String REPORT =
        Json.write(
            new WorkerReport(
                id(0),
                1,
                1,
                true,
                List.of(
                    new TaskReport(
                        new TaskRef(new TaskId(Teams.HENGTAI, "leafweigh", 0), 1),
                        RunState.RUNNING,
                        7,
                        100))));

    private static String with(String part, String replacement) {
      assertThat(REPORT).contains(part);
      return REPORT.replace(part, replacement);
    }

    private static List<String> damaged() {
      return List.of(
          with("\"worker\":\"" + id(0) + "\"", "\"worker\":null"),
          with("\"worker\":\"" + id(0) + "\"", "\"worker\":\"another\""),
          with("\"tasks\":[", "\"tasks\":[null,"),
          with("\"tasks\":[", "\"tasks\":[{},"),
          with("\"state\":\"RUNNING\"", "\"state\":null"),
          with("\"state\":\"RUNNING\"", "\"state\":2"),
          with("\"incarnation\":1", "\"incarnation\":1e99"),
          with("\"generation\":1", "\"generation\":-1"),
          with("\"checkpoint\":7", "\"checkpoint\":-7"));
    }

    @Test
    public void should_keep_polling_all_workers_when_some_send_unreadable_reports() {
      assertPollsAll(DamagedEntries.ALL);
    }

    @Test
    public void should_keep_polling_all_workers_when_some_send_damaged_reports() {
      assertPollsAll(damaged());
    }

    private static void assertPollsAll(List<String> reports) {
      // given
      List<WorkerEndpoint> endpoints = new ArrayList<>();
      for (int i = 0; i <= reports.size(); i++) {
        endpoints.add(WorkerEndpoint.start(id(i)));
      }
      WorkerInfo[] workers =
          IntStream.range(0, endpoints.size())
              .mapToObj(i -> at(endpoints.get(i).address(), i))
              .toArray(WorkerInfo[]::new);
      for (int i = 0; i < reports.size(); i++) {
        String own = '"' + id(i).value() + '"';
        endpoints.get(i).replyWith(reports.get(i).replace('"' + id(0).value() + '"', own));
      }
      try (Fixture fixture = new Fixture(new WatchableStore(), workers);
          CapturedLog log = CapturedLog.start()) {
        // when
        fixture.start();
        boolean polled =
            Await.until(() -> endpoints.stream().allMatch(endpoint -> endpoint.messages() > 1));
        // then
        assertThat(polled)
            .as(
                "messages: %s, log: %s",
                endpoints.stream().map(WorkerEndpoint::messages).toList(), log.lines())
            .isTrue();
        assertThat(log.lines()).hasSize(reports.size());
      } finally {
        endpoints.forEach(WorkerEndpoint::close);
      }
    }
  }
}
