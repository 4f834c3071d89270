package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.platform.standin.StoreView;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.WatchReply;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the faults of the store that one node sees. */
public class StoreViewTest {
  private static final String KEY = "pl/key";
  private static final long ANY_TASK_MS = 50;
  private static final int LATE_MS = 300;

  /** Shorter than the client's own timeout. */
  private static final long SILENCE_MS = 700;

  private static final long PATIENCE_MS = 10_000;

  private SimulatedPlatform platform;
  private StoreView view;
  private PlatformHttpClient client;
  private PlatformStore store;

  @BeforeMethod
  public void setUp() {
    platform = SimulatedPlatform.start(1, ANY_TASK_MS);
    view = platform.openStoreView();
    client = new PlatformHttpClient();
    store = new PlatformStore(client, view.address());
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    client.close();
    platform.close();
  }

  @Test
  public void should_carry_out_a_delayed_write_without_a_response() throws Exception {
    // given
    view.delayWrites(() -> LATE_MS);
    // when
    CompletableFuture<CommitReply> reply =
        store.commit(Transaction.start().expectAbsent(KEY).write(KEY, "late"));
    // then
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (platform.storedValue(KEY).isEmpty() && System.nanoTime() < end) {
      Thread.sleep(20);
    }
    assertThat(platform.storedValue(KEY)).isEqualTo("late");
    assertThat(reply.get(PATIENCE_MS, TimeUnit.MILLISECONDS))
        .isNotInstanceOf(CommitReply.Committed.class);
  }

  @Test
  public void should_keep_the_condition_of_a_delayed_write() throws Exception {
    // given
    view.delayWrites(() -> LATE_MS);
    CompletableFuture<CommitReply> reply =
        store.commit(Transaction.start().expectAbsent(KEY).write(KEY, "late"));
    // when
    platform.overwrite(KEY, "first");
    reply.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    // then
    assertThat(platform.storedValue(KEY)).isEqualTo("first");
  }

  @Test
  public void should_silence_open_and_new_watches_only() {
    // given
    long revision = ((ReadReply.Found) store.list(KEY).join()).revision();
    CompletableFuture<WatchReply> open = store.watch(KEY, revision, PATIENCE_MS);
    view.setWatchesSilent(true);
    // when
    platform.overwrite(KEY, "unheard");
    CompletableFuture<WatchReply> opened = store.watch(KEY, revision, PATIENCE_MS);
    // then
    assertThatThrownBy(() -> open.get(SILENCE_MS, TimeUnit.MILLISECONDS))
        .isInstanceOf(TimeoutException.class);
    assertThat(opened).isNotDone();
    assertThat(store.list(KEY).join()).isInstanceOf(ReadReply.Found.class);
    view.setWatchesSilent(false);
    assertThat(store.watch(KEY, revision, 0).join()).isInstanceOf(WatchReply.Changes.class);
  }
}
