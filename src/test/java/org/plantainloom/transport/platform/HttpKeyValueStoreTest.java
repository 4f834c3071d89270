package org.plantainloom.transport.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.StoreList;
import org.plantainloom.protocol.message.StoreValue;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.state.WriteResult;
import org.plantainloom.support.CapturedLog;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.MessageMutator;
import org.plantainloom.support.ScriptedReplies;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the store's adapter with damaged replies. */
public class HttpKeyValueStoreTest {
  private static final int REPLIES = 250;
  private static final int CALLS = 3;
  private static final String VALUE = Json.write(new StoreValue("{}", 4));
  private static final String LIST =
      Json.write(new StoreList(List.of(new StoreEntry("members/a", "{}", 4))));

  @DataProvider
  public static Object[][] damaged() {
    return DamagedEntries.ALL.stream().map(e -> new Object[] {e}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "damaged")
  public void should_take_an_unreadable_reply_for_no_reply_and_log_it_once(String reply) {
    assertNoReply(reply);
  }

  @DataProvider
  public static Object[][] missing() {
    return new Object[][] {
      {VALUE.replace("\"{}\"", "null")},
      {VALUE.replace("\"value\":\"{}\",", "")},
      {VALUE.replace("\"revision\":4", "\"revision\":null")},
      {VALUE.replace("\"revision\":4", "\"revision\":-4")},
      {VALUE.replace("\"revision\":4", "\"revision\":4.5")},
      {VALUE.replace(",\"revision\":4", "")},
    };
  }

  @Test(dataProvider = "missing")
  public void should_take_a_reply_without_value_or_revision_for_no_reply(String reply) {
    assertNoReply(reply);
  }

  private static void assertNoReply(String reply) {
    // given
    ProcessContext process = ProcessContext.create("scheduler");
    try (ScriptedReplies server = ScriptedReplies.start(path -> reply);
        JsonClient client = JsonClient.create(process.clock(), process.metrics());
        CapturedLog log = CapturedLog.start()) {
      HttpKeyValueStore store = new HttpKeyValueStore(client, server.address(), process.metrics());
      for (int i = 0; i < CALLS; i++) {
        // when
        ReadResult result = store.read("racks/r").join();
        // then
        assertThat(result).isInstanceOf(ReadResult.Unavailable.class);
      }
      assertThat(log.lines()).hasSize(1);
    }
  }

  @Test
  public void should_end_each_call_with_a_result() {
    // given
    MessageMutator mutator = new MessageMutator(5);
    ProcessContext process = ProcessContext.create("scheduler");
    try (ScriptedReplies server = ScriptedReplies.start(path -> mutated(mutator, path));
        JsonClient client = JsonClient.create(process.clock(), process.metrics())) {
      HttpKeyValueStore store = new HttpKeyValueStore(client, server.address(), process.metrics());
      for (int i = 0; i < REPLIES; i++) {
        // when
        ReadResult read = store.read("racks/r").join();
        List<StoreEntry> entries = store.list("members/").join().orElse(List.of());
        CompletableFuture<WriteResult> write = store.compareAndSwap("racks/r", 1, "{}");
        // then
        if (read instanceof ReadResult.Found found) {
          assertThat(found.value()).isNotNull();
        }
        assertThat(entries).allMatch(entry -> entry.key() != null && entry.value() != null);
        assertThat(write.join()).isNotNull();
      }
    }
  }

  private static String mutated(MessageMutator mutator, String path) {
    synchronized (mutator) {
      return mutator.mutate(path.equals("/kv/") ? LIST : VALUE);
    }
  }
}
