package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

/** Tests a watch whose calls are repeated while their replies are overdue, in virtual time. */
public class HedgedWatchTest {
  private static final long AWAIT_TIMEOUT_S = 30;
  private static final long REVISION = 10;

  /** A reply that takes longer leaves the owner without news of the jobs for too long. */
  private static final long NEWS_INTERVAL_MS = 1_300;

  /** The client gives up waiting for the reply to a call this long after its wait. */
  private static final long TIMEOUT_MARGIN_MS = 800;

  /** The slowest store that the platform has takes so long for a reply. */
  private static final long SLOW_REPLY_MS = 240;

  private final List<Call> calls = new ArrayList<>();
  private final List<Timer> timers = new ArrayList<>();
  private final List<String> received = new ArrayList<>();
  private long nowMs;
  private int completions;
  private EventLoop eventLoop;
  private PrefixWatch watch;

  /** A call of the watch that the store has received. */
  private record Call(long after, long waitMs, long sentMs, CompletableFuture<WatchReply> reply) {}

  private record Timer(long dueMs, Runnable action) {}

  /** Starts a watch after a revision. */
  @BeforeMethod
  public void start() {
    calls.clear();
    timers.clear();
    received.clear();
    nowMs = 0;
    completions = 0;
    eventLoop = EventLoop.start("watch", 1_000, () -> {});
    watch =
        new PrefixWatch(
                new SilentStore(),
                eventLoop,
                (delayMs, action) -> timers.add(new Timer(nowMs + delayMs, action)),
                "p/",
                new Recorder())
            .hedged();
    onEventLoop(() -> watch.startAfter(REVISION));
  }

  /** Stops it. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    eventLoop.close();
  }

  private void onEventLoop(Runnable action) {
    CompletableFuture.runAsync(action, eventLoop)
        .orTimeout(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)
        .join();
  }

  /** Lets virtual time pass; calls without a reply fail when the client gives up on them. */
  private void pass(long ms) {
    long endMs = nowMs + ms;
    for (; nowMs < endMs; nowMs += 10) {
      List<Timer> due = timers.stream().filter(timer -> timer.dueMs() <= nowMs).toList();
      timers.removeAll(due);
      onEventLoop(() -> due.forEach(timer -> timer.action().run()));
      List.copyOf(calls).stream()
          .filter(call -> nowMs >= call.sentMs() + call.waitMs() + TIMEOUT_MARGIN_MS)
          .forEach(call -> reply(call, new WatchReply.Unavailable("timeout")));
    }
  }

  private void reply(Call call, WatchReply reply) {
    call.reply().complete(reply);
    onEventLoop(() -> {}); // the reply has been handled
    onEventLoop(() -> {}); // and what it has led to
  }

  private static WatchReply changes(long nextRevision, String... keysByRevision) {
    List<StoreEvent> events = new ArrayList<>();
    for (int i = 0; i < keysByRevision.length; i++) {
      long revision = nextRevision - keysByRevision.length + 1 + i;
      events.add(new StoreEvent(keysByRevision[i], Optional.of("{}"), revision));
    }
    return new WatchReply.Changes(events, nextRevision);
  }

  private Call lastCall() {
    return calls.get(calls.size() - 1);
  }

  private long openCalls() {
    return calls.stream().filter(call -> !call.reply().isDone()).count();
  }

  /** Answers the first call, so that the store holds the next one. */
  private Call awaitHeldCall() {
    reply(lastCall(), changes(REVISION));
    assertThat(lastCall().waitMs()).isPositive();
    return lastCall();
  }

  /** Regression (UNASKED): a lost reply was noticed after 2.3 s, and a back-off came on top. */
  @Test
  public void should_send_another_call_before_a_lost_reply_holds_up_starts() {
    // given
    Call lost = awaitHeldCall();
    // when
    pass(NEWS_INTERVAL_MS - 300);
    // then: it is to be answered at once
    assertThat(lost.reply()).isNotDone();
    assertThat(lastCall()).isNotSameAs(lost);
    assertThat(lastCall().waitMs()).isZero();
    assertThat(lastCall().after()).isEqualTo(REVISION);
  }

  @Test
  public void should_send_no_other_call_while_replies_come_in_time() {
    // given
    awaitHeldCall();
    int before = calls.size();
    // when
    for (int i = 0; i < 10; i++) {
      pass(lastCall().waitMs() + 100);
      reply(lastCall(), changes(REVISION));
    }
    // then
    assertThat(calls).hasSize(before + 10);
  }

  @Test
  public void should_pass_on_each_change_once_when_several_calls_are_answered() {
    // given
    Call slow = awaitHeldCall();
    pass(1_000);
    Call repeated = lastCall();
    // when
    reply(repeated, changes(REVISION + 2, "p/a", "p/b"));
    reply(slow, changes(REVISION + 1, "p/a"));
    // then
    assertThat(received).containsExactly("p/a", "p/b");
    assertThat(lastCall().after()).isEqualTo(REVISION + 2);
  }

  @Test
  public void should_go_on_with_one_call_after_a_repeated_one_was_answered_late() {
    // given
    Call slow = awaitHeldCall();
    pass(1_000);
    List<Call> repeated = calls.stream().filter(call -> !call.reply().isDone()).toList();
    // when
    reply(slow, changes(REVISION));
    repeated.forEach(call -> reply(call, changes(REVISION)));
    // then
    assertThat(openCalls()).isEqualTo(1);
  }

  @Test
  public void should_keep_few_calls_in_flight_and_hear_soon_after_a_silence_of_the_store() {
    // given
    awaitHeldCall();
    int sent = calls.size();
    // when
    long silenceMs = 20_000;
    for (long ms = 0; ms < silenceMs; ms += 1_000) {
      pass(1_000);
      assertThat(openCalls()).isLessThanOrEqualTo(4);
    }
    // then
    assertThat(calls.size() - sent).isLessThanOrEqualTo((int) (silenceMs / 200));
    assertThat(nowMs - lastCall().sentMs()).isLessThanOrEqualTo(300);
  }

  @Test
  public void should_retry_within_a_few_hundred_milliseconds_while_the_store_refuses_calls() {
    // given
    awaitHeldCall();
    for (int i = 0; i < 40; i++) {
      if (!lastCall().reply().isDone()) {
        reply(lastCall(), new WatchReply.Unavailable("503"));
      }
      pass(100);
    }
    // then
    assertThat(nowMs - lastCall().sentMs()).isLessThanOrEqualTo(300);
  }

  /** Regression: starts stopped for a quarter of the time, as each reply rests on two calls. */
  @Test
  public void should_bring_news_in_time_from_a_slow_store_without_changes() {
    // given
    awaitHeldCall();
    long knownAsOfMs = nowMs;
    for (long ms = 0; ms < 12_000; ms += 10) {
      // when
      pass(10);
      for (Call call : List.copyOf(calls)) {
        if (!call.reply().isDone() && nowMs >= call.sentMs() + call.waitMs() + SLOW_REPLY_MS) {
          reply(call, changes(REVISION));
          knownAsOfMs = Math.max(knownAsOfMs, call.sentMs());
        }
      }
      // then
      assertThat(nowMs - knownAsOfMs).isLessThan(NEWS_INTERVAL_MS);
    }
  }

  @Test
  public void should_ignore_replies_to_calls_from_before_a_list() {
    // given
    Call slow = awaitHeldCall();
    pass(1_000);
    Call repeated = lastCall();
    // when: the list has the items up to a later revision
    reply(repeated, new WatchReply.HistoryLost());
    reply(slow, changes(REVISION + 1, "p/removed"));
    // then
    assertThat(received).containsExactly("snapshot");
    assertThat(lastCall().after()).isEqualTo(REVISION + 5);
  }

  @Test
  public void should_tell_with_each_reply_that_the_changes_are_complete() {
    // given
    Call slow = awaitHeldCall();
    int before = completions;
    pass(1_000);
    // when
    reply(lastCall(), changes(REVISION));
    reply(slow, changes(REVISION));
    // then
    assertThat(completions).isEqualTo(before + 2);
  }

  private final class Recorder implements PrefixWatch.Listener {
    @Override
    public void onSnapshot(List<StoreItem> items) {
      received.add("snapshot");
    }

    @Override
    public void onChange(StoreEvent event) {
      received.add(event.key());
    }

    @Override
    public void onComplete(long sentMs, long sentWallMs) {
      completions++;
    }
  }

  /** A store whose replies to watch calls the test gives. */
  private final class SilentStore extends UnsupportedStore {
    @Override
    public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs) {
      Call call = new Call(after, waitMs, nowMs, new CompletableFuture<>());
      calls.add(call);
      return call.reply();
    }

    @Override
    public CompletableFuture<ReadReply> list(String prefix) {
      return CompletableFuture.completedFuture(new ReadReply.Found(List.of(), REVISION + 5));
    }
  }
}
