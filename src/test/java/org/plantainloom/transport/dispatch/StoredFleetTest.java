package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.support.MessageMutator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what is read of a damaged list of workers. */
public class StoredFleetTest {
  private static final int MESSAGES = 4_000;
  private static final TaskKey TASK = new TaskKey("00000000000000aa", 0, 0, 1);
  private static final WorkerRegistration SILENT = worker("w1");
  private static final WorkerRegistration ANSWERING = worker("w2");
  private static final OwnerTime LEASE_END = new OwnerTime(3, 70_000, 1_700_000_000_000L);

  /** The same on this process's clock. */
  private static final long LEASE_END_MS = 4_000;

  private static final String RECORD =
      Json.write(
          new FleetRecord(
              List.of(SILENT, ANSWERING),
              Map.of("w1", List.of(TASK.toString())),
              Map.of("w1", LEASE_END),
              false));

  private static StoredFleet parse(String text) {
    return StoredFleet.parse(
        text,
        time -> time.equals(LEASE_END) ? OptionalLong.of(LEASE_END_MS) : OptionalLong.empty());
  }

  private static WorkerRegistration worker(String id) {
    return new WorkerRegistration(
        id, "s", "h:80", "z", false, new ResourceVector(8_000, 64, 0), List.of("a", "r1"), 7, 9);
  }

  @Test
  public void should_read_all_workers_of_an_intact_record() {
    // when
    StoredFleet fleet = parse(RECORD);
    // then
    assertThat(fleet.damage()).isEmpty();
    assertThat(fleet.members())
        .containsExactly(
            new FleetMember(
                SILENT,
                Optional.of(List.of(TASK)),
                true,
                OptionalLong.of(LEASE_END_MS),
                Optional.of(LEASE_END)),
            new FleetMember(ANSWERING, Optional.empty()));
  }

  @Test
  public void should_read_a_record_of_a_release_without_silent_tasks() {
    // when
    StoredFleet fleet = parse("{\"workers\":[" + Json.write(ANSWERING) + "]}");
    // then
    assertThat(fleet.damage()).isEmpty();
    assertThat(fleet.members()).containsExactly(new FleetMember(ANSWERING, Optional.empty()));
  }

  @Test
  public void should_pass_on_that_a_former_owner_could_not_read_all_workers() {
    // given
    FleetRecord record = new FleetRecord(List.of(ANSWERING), Map.of(), Map.of(), true);
    // when
    StoredFleet fleet = parse(Json.write(record));
    // then
    assertThat(fleet.members()).hasSize(1);
    assertThat(fleet.damage()).isPresent();
  }

  @DataProvider
  public static Object[][] damagedRows() {
    return new Object[][] {
      {"null"},
      {"7"},
      {"{}"},
      {"{\"id\":" + "[".repeat(500) + "]".repeat(500) + "}"},
      {Json.write(SILENT).replace("h:80", "h:65536")},
      {Json.write(SILENT).replace("h:80", "h:0")},
      {Json.write(SILENT).replace("h:80", "h")},
      {Json.write(SILENT).replace("8000", "-8000")},
      {Json.write(SILENT).replace("8000", "8000.5")},
      {Json.write(SILENT).replace("8000", "99999999999")},
      {Json.write(SILENT).replace("[\"a\",\"r1\"]", "null")},
      {Json.write(SILENT).replace("\"r1\"", "null")},
      {Json.write(SILENT).replace(":9}", ":9223372036854775807}")}
    };
  }

  @Test(dataProvider = "damagedRows")
  public void should_read_the_other_workers_when_one_row_is_damaged(String row) {
    // when
    StoredFleet fleet = parse("{\"workers\":[" + row + "," + Json.write(ANSWERING) + "]}");
    // then
    assertThat(fleet.members()).extracting(FleetMember::entry).containsExactly(ANSWERING);
    assertThat(fleet.damage()).isPresent();
  }

  @DataProvider
  public static Object[][] damagedRecords() {
    return new Object[][] {
      {""},
      {"null"},
      {"[]"},
      {"{}"},
      {"{\"workers\":null}"},
      {"{\"workers\":{}}"},
      {"{\"workers\":[]}}"},
      {"{\"workers\":[],\"silentTasks\":{\"w9\":[]}}"},
      {"{\"workers\":[],\"incomplete\":null}"},
      {"[".repeat(200_000)},
      {"{\"workers\":" + "[".repeat(200_000)}
    };
  }

  @Test(dataProvider = "damagedRecords")
  public void should_report_a_record_that_may_lack_workers(String text) {
    // when
    StoredFleet fleet = parse(text);
    // then
    assertThat(fleet.members()).isEmpty();
    assertThat(fleet.damage()).isPresent();
  }

  @DataProvider
  public static Object[][] damagedTasks() {
    return new Object[][] {{"null"}, {"\"x\""}, {"[null]"}, {"[7]"}, {"[\"a.0.0\"]"}};
  }

  @Test(dataProvider = "damagedTasks")
  public void should_not_limit_what_a_silent_worker_may_run_to_a_damaged_list(String tasks) {
    // given
    String text = RECORD.replace("[\"" + TASK + "\"]", tasks);
    // then: the worker itself has to answer
    assertThat(parse(text).members().get(0))
        .isEqualTo(new FleetMember(SILENT, Optional.empty(), true, OptionalLong.empty()));
  }

  @DataProvider
  public static Object[][] damagedLeaseEnds() {
    return new Object[][] {{"null"}, {"7"}, {"\"x\""}, {"[]"}, {"{\"term\":\"x\"}"}};
  }

  @Test(dataProvider = "damagedLeaseEnds")
  public void should_not_rely_on_a_damaged_end_of_the_lease_of_a_silent_worker(String end) {
    // given
    String text = RECORD.replace(Json.write(LEASE_END), end);
    // then: the worker is still known as silent
    assertThat(parse(text).members().get(0))
        .isEqualTo(new FleetMember(SILENT, Optional.of(List.of(TASK)), true, OptionalLong.empty()));
  }

  @Test
  public void should_read_what_is_usable_of_any_record() {
    // given
    MessageMutator mutator = new MessageMutator(5);
    for (int i = 0; i < MESSAGES; i++) {
      String text = mutator.mutate(RECORD);
      // when
      StoredFleet fleet = parse(text);
      // then
      assertThat(fleet.members())
          .as(text)
          .allMatch(member -> member.entry().capacity().isNonNegative())
          .allMatch(member -> member.entry().labels().stream().allMatch(l -> l != null));
    }
  }
}
