package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.WatchReply;
import org.testng.annotations.Test;

/** Tests that the store can be followed beside large values of other systems. */
public class PlatformStoreTest {
  /** Largest value that the store accepts. */
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private static final long ANY_TASK_MS = 50;

  /** The store bounds the size of a page, but not that of a reply to a watch call. */
  @Test
  public void should_list_again_when_the_changes_are_too_large_for_one_reply() {
    // given
    try (SimulatedPlatform platform = SimulatedPlatform.start(1, ANY_TASK_MS);
        PlatformHttpClient client = new PlatformHttpClient()) {
      PlatformStore store = new PlatformStore(client, platform.storeAddress());
      ReadReply.Found before = (ReadReply.Found) store.list("servers/").join();
      for (int i = 0; i < 4; i++) {
        platform.putWorkerEntry("odd", "x".repeat(MAX_VALUE_BYTES));
      }
      // when
      WatchReply changes = store.watch("servers/", before.revision(), 0).join();
      ReadReply list = store.list("servers/").join();
      // then: the changes would be as large with each further attempt
      assertThat(changes).isInstanceOf(WatchReply.HistoryLost.class);
      assertThat(list).isInstanceOf(ReadReply.Found.class);
    }
  }
}
