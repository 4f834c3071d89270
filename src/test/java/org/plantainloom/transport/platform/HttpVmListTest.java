package org.plantainloom.transport.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.support.CapturedLog;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.ScriptedReplies;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the VM list with entries that another writer has left in it. */
public class HttpVmListTest {
  private static final int POLLS = 3;
  private static final WorkerInfo FIRST = Fleets.worker("lugu", "nantou", 0, 0, 0);
  private static final WorkerInfo ODD = Fleets.worker("lugu", "nantou", 0, 1, 0);
  private static final WorkerInfo THIRD = Fleets.worker("lugu", "nantou", 0, 2, 0);
  private static final String ENTRY = Json.write(ODD);
  private static final int DIGITS = 100_000;

  private static Object[] with(String part, String replacement) {
    assertThat(ENTRY).contains(part);
    return new Object[] {ENTRY.replace(part, replacement)};
  }

  @DataProvider
  public static Object[][] damaged() {
    return new Object[][] {
      {"null"},
      {"{}"},
      {"[]"},
      {"7"},
      {"\"text\""},
      {DamagedEntries.DEEPLY_NESTED},
      {"{\"unknown\":" + DamagedEntries.DEEPLY_NESTED + "}"},
      {"7".repeat(DIGITS)},
      with("\"id\":\"lugu-w1\"", "\"id\":null"),
      with("\"id\":\"lugu-w1\"", "\"id\":\"lugu-w2\""),
      with("\"id\":\"lugu-w1\"", "\"id\":" + DamagedEntries.DEEPLY_NESTED),
      with("\"rack\":\"lugu-r0\"", "\"rack\":\"\""),
      with("\"rack\":\"lugu-r0\",", ""),
      with("\"zone\":\"lugu\"", "\"zone\":{\"a\":1}"),
      with("\"127.0.0.1:2\"", "null"),
      with("\"127.0.0.1:2\"", "\"127.0.0.1:70000\""),
      with("\"127.0.0.1:2\"", "\"127.0.0.1:-2\""),
      with("\"127.0.0.1:2\"", "\"\""),
      with("\"generation\":1", "\"generation\":" + "7".repeat(DIGITS)),
      with("\"generation\":1", "\"generation\":99999999999999999999"),
      with("\"generation\":1", "\"generation\":-1"),
      with("\"generation\":1", "\"generation\":1.5"),
      with("\"cpuMillis\":32000", "\"cpuMillis\":-32000"),
      with("\"cpuMillis\":32000", "\"cpuMillis\":1e308"),
      with("\"capacity\":{", "\"capacity\":null,\"other\":{"),
      with("\"slots\":8", "\"slots\":-8"),
      with("\"slots\":8,", ""),
      with("\"leaving\":false", "\"leaving\":\"no\""),
    };
  }

  @Test(dataProvider = "damaged")
  public void should_list_the_other_workers_when_one_entry_is_damaged(String entry) {
    // given
    String others = Json.write(VmListing.of(1_000, List.of(FIRST, ODD, THIRD)));
    String reply = others.replace("\"lugu-w1\":" + ENTRY, "\"lugu-w1\":" + entry);
    ProcessContext process = ProcessContext.create("scheduler");
    try (ScriptedReplies server = ScriptedReplies.start(path -> reply);
        JsonClient client = JsonClient.create(process.clock(), process.metrics());
        CapturedLog log = CapturedLog.start()) {
      HttpVmList vmList = new HttpVmList(client, server.address());
      for (int i = 0; i < POLLS; i++) {
        // when
        Optional<VmListing> listing = vmList.list().join();
        // then
        assertThat(listing.map(VmListing::workers).map(List::copyOf))
            .as("log: %s", log.lines())
            .contains(List.of(FIRST, THIRD));
      }
      assertThat(log.lines()).hasSize(1).allMatch(line -> line.contains("lugu-w1"));
    }
  }

  @Test
  public void should_list_a_worker_again_once_its_entry_is_repaired() {
    // given
    String whole = Json.write(VmListing.of(1_000, List.of(FIRST, ODD)));
    AtomicReference<String> reply = new AtomicReference<>(whole.replace(ENTRY, "{}"));
    ProcessContext process = ProcessContext.create("scheduler");
    try (ScriptedReplies server = ScriptedReplies.start(path -> reply.get());
        JsonClient client = JsonClient.create(process.clock(), process.metrics())) {
      HttpVmList vmList = new HttpVmList(client, server.address());
      assertThat(vmList.list().join().orElseThrow().workers()).containsExactly(FIRST);
      // when
      reply.set(whole);
      // then
      assertThat(vmList.list().join().orElseThrow().workers()).containsExactly(FIRST, ODD);
    }
  }

  @Test
  public void should_log_a_reply_that_stays_unreadable_once() {
    // given
    ProcessContext process = ProcessContext.create("scheduler");
    try (ScriptedReplies server = ScriptedReplies.start(path -> "{\"asOfMs\":1,\"byId\":");
        JsonClient client = JsonClient.create(process.clock(), process.metrics());
        CapturedLog log = CapturedLog.start()) {
      HttpVmList vmList = new HttpVmList(client, server.address());
      for (int i = 0; i < POLLS; i++) {
        // when
        assertThat(vmList.list().join()).isEmpty();
      }
      // then
      assertThat(log.lines()).hasSize(1);
    }
  }
}
