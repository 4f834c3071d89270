package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.WatchReply;
import org.plantainloom.support.UnsupportedStore;
import org.plantainloom.transport.duty.EventLoop;
import org.testng.annotations.Test;

/** Tests that a watch goes on after an entry that its listener cannot handle. */
public class PrefixWatchTest {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_S = 30;

  private static final long REPLY_DELAY_MS = 5;
  private static final String BAD_KEY = "p/bad";

  /** A store with two entries, one of which changes with each call of the watch. */
  private static final class ChangingStore extends UnsupportedStore {
    @Override
    public CompletableFuture<ReadReply> read(String key) {
      return list(key);
    }

    @Override
    public CompletableFuture<ReadReply> list(String prefix) {
      return CompletableFuture.completedFuture(
          new ReadReply.Found(
              List.of(new StoreItem(BAD_KEY, "", 1), new StoreItem("p/good", "{}", 2)), 2));
    }

    @Override
    public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs) {
      List<StoreEvent> events =
          List.of(
              new StoreEvent(BAD_KEY, Optional.of(""), after + 1),
              new StoreEvent("p/" + after, Optional.of("{}"), after + 2));
      return CompletableFuture.supplyAsync(
          () -> new WatchReply.Changes(events, after + 2),
          CompletableFuture.delayedExecutor(REPLY_DELAY_MS, TimeUnit.MILLISECONDS));
    }
  }

  /** Fails on one key, as a decoder with a fault would. */
  private static final class FailingListener implements PrefixWatch.Listener {
    final BlockingQueue<String> keys = new LinkedBlockingQueue<>();

    @Override
    public void onSnapshot(List<StoreItem> items) {
      items.forEach(item -> handle(item.key()));
    }

    @Override
    public void onChange(StoreEvent event) {
      handle(event.key());
    }

    private void handle(String key) {
      if (key.equals(BAD_KEY)) {
        throw new IllegalStateException("expected by the test");
      }
      keys.add(key);
    }
  }

  @Test
  public void should_go_on_after_an_entry_that_its_listener_cannot_handle() throws Exception {
    // given
    FailingListener listener = new FailingListener();
    try (EventLoop loop = EventLoop.start("test", 10, () -> {})) {
      PrefixWatch watch =
          new PrefixWatch(
              new ChangingStore(), loop, (delay, action) -> loop.execute(action), "p/", listener);
      // when
      loop.execute(watch::start);
      // then: changes after the entry, and of later calls, arrive
      List<String> received = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        received.add(listener.keys.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
      }
      assertThat(received).doesNotContainNull();
      loop.execute(watch::close);
    }
  }

  @Test
  public void should_pass_on_the_other_items_of_a_snapshot_after_one_that_fails() {
    // given
    FailingListener listener = new FailingListener();
    List<StoreItem> items = List.of(new StoreItem(BAD_KEY, "", 1), new StoreItem("p/good", "", 2));
    // when
    PrefixWatch.forEach(items, item -> listener.handle(item.key()));
    // then
    assertThat(listener.keys).containsExactly("p/good");
  }
}
