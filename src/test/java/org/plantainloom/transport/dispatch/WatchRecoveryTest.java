package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.WatchReply;
import org.plantainloom.support.UnsupportedStore;
import org.plantainloom.transport.duty.EventLoop;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which calls a watch sends after failures and when it is told to list the keys. */
public class WatchRecoveryTest {
  private static final long AWAIT_TIMEOUT_S = 30;

  private final List<CompletableFuture<ReadReply>> lists = new ArrayList<>();
  private final List<CompletableFuture<WatchReply>> watches = new ArrayList<>();
  private final List<Runnable> timers = new ArrayList<>();
  private int completions;
  private EventLoop eventLoop;
  private PrefixWatch watch;

  private final class ScriptedStore extends UnsupportedStore {
    @Override
    public CompletableFuture<ReadReply> list(String prefix) {
      lists.add(new CompletableFuture<>());
      return lists.get(lists.size() - 1);
    }

    @Override
    public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs) {
      watches.add(new CompletableFuture<>());
      return watches.get(watches.size() - 1);
    }
  }

  private final class CountingListener implements PrefixWatch.Listener {
    @Override
    public void onSnapshot(List<StoreItem> items) {}

    @Override
    public void onChange(StoreEvent event) {}

    @Override
    public void onComplete(long sentMs, long sentWallMs) {
      completions++;
    }
  }

  /** Starts a watch that has listed the keys and waits for changes. */
  @BeforeMethod
  public void start() throws Exception {
    lists.clear();
    watches.clear();
    timers.clear();
    completions = 0;
    eventLoop = EventLoop.start("watch", 1_000, () -> {});
    watch =
        new PrefixWatch(
                new ScriptedStore(),
                eventLoop,
                (delayMs, action) -> timers.add(action),
                "p/",
                new CountingListener())
            .frequent();
    onLoop(watch::start);
    onLoop(() -> lists.get(0).complete(new ReadReply.Found(List.of(), 1)));
    assertThat(watches).hasSize(1);
  }

  /** Stops the loop. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    eventLoop.close();
  }

  /** Runs an action on the loop, and all that follows from it. */
  private void onLoop(Runnable action) throws Exception {
    CompletableFuture.runAsync(action, eventLoop).get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
    // A result that is passed on from the loop's own thread follows the tasks that wait.
    for (int i = 0; i < 2; i++) {
      CompletableFuture.runAsync(() -> {}, eventLoop).get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  private void runTimers() throws Exception {
    List<Runnable> due = List.copyOf(timers);
    timers.clear();
    onLoop(() -> due.forEach(Runnable::run));
  }

  @Test
  public void should_list_the_keys_where_watching_them_fails_twice() throws Exception {
    onLoop(() -> watches.get(0).complete(new WatchReply.Unavailable("silent")));
    runTimers();
    assertThat(watches).hasSize(2);
    onLoop(() -> watches.get(1).complete(new WatchReply.Unavailable("silent")));
    assertThat(lists).hasSize(2);
  }

  @Test
  public void should_have_one_call_on_its_way_after_a_refresh() throws Exception {
    // when
    onLoop(watch::refresh);
    onLoop(() -> watches.get(0).complete(new WatchReply.Changes(List.of(), 1)));
    // then
    assertThat(watches).hasSize(1);
    assertThat(completions).isEqualTo(1);
    // when
    onLoop(() -> lists.get(1).complete(new ReadReply.Found(List.of(), 1)));
    // then
    assertThat(watches).hasSize(2);
    assertThat(completions).isEqualTo(2);
  }

  @Test
  public void should_ignore_a_list_that_was_repeated() throws Exception {
    // given
    onLoop(watch::refresh);
    onLoop(watch::refresh);
    // when
    onLoop(() -> lists.get(1).complete(new ReadReply.Unavailable("late")));
    runTimers();
    onLoop(() -> lists.get(2).complete(new ReadReply.Found(List.of(), 1)));
    // then
    assertThat(lists).hasSize(3);
    assertThat(watches).hasSize(2);
  }
}
