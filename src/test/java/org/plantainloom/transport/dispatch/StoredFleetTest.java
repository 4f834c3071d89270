package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainloom.coordination.dispatch.FleetMember;
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
  private static final String RECORD =
      Json.write(
          new FleetRecord(
              List.of(SILENT, ANSWERING), Map.of("w1", List.of(TASK.toString())), false));

  private static WorkerRegistration worker(String id) {
    return new WorkerRegistration(
        id, "s", "h:80", "z", false, new ResourceVector(8_000, 64, 0), List.of("a", "r1"), 7, 9);
  }

  @Test
  public void should_read_all_workers_of_an_intact_record() {
    // when
    StoredFleet fleet = StoredFleet.parse(RECORD);
    // then
    assertThat(fleet.damage()).isEmpty();
    assertThat(fleet.members())
        .containsExactly(
            new FleetMember(SILENT, Optional.of(List.of(TASK))),
            new FleetMember(ANSWERING, Optional.empty()));
  }

  @Test
  public void should_read_a_record_of_a_release_without_silent_tasks() {
    // when
    StoredFleet fleet = StoredFleet.parse("{\"workers\":[" + Json.write(ANSWERING) + "]}");
    // then
    assertThat(fleet.damage()).isEmpty();
    assertThat(fleet.members()).containsExactly(new FleetMember(ANSWERING, Optional.empty()));
  }

  @Test
  public void should_pass_on_that_a_former_owner_could_not_read_all_workers() {
    // given
    FleetRecord record = new FleetRecord(List.of(ANSWERING), Map.of(), true);
    // when
    StoredFleet fleet = StoredFleet.parse(Json.write(record));
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
    StoredFleet fleet =
        StoredFleet.parse("{\"workers\":[" + row + "," + Json.write(ANSWERING) + "]}");
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
    StoredFleet fleet = StoredFleet.parse(text);
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
    assertThat(StoredFleet.parse(text).members().get(0))
        .isEqualTo(new FleetMember(SILENT, Optional.empty()));
  }

  @Test
  public void should_read_what_is_usable_of_any_record() {
    // given
    MessageMutator mutator = new MessageMutator(5);
    for (int i = 0; i < MESSAGES; i++) {
      String text = mutator.mutate(RECORD);
      // when
      StoredFleet fleet = StoredFleet.parse(text);
      // then
      assertThat(fleet.members())
          .as(text)
          .allMatch(member -> member.entry().capacity().isNonNegative())
          .allMatch(member -> member.entry().labels().stream().allMatch(l -> l != null));
    }
  }
}
