package org.plantainloom.transport.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests that a failing task does not end the loop. */
public class EventLoopTest {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_S = 30;

  private static final long TICK_MS = 60_000;

  @Test
  public void should_run_the_next_task_after_one_has_failed_with_an_exception() throws Exception {
    try (EventLoop loop = EventLoop.start("test", 10, () -> {})) {
      // when
      loop.execute(
          () -> {
            throw new IllegalStateException("expected by the test");
          });
      // then
      assertRunsTasks(loop);
    }
  }

  @Test
  public void should_run_the_next_task_after_one_has_failed_with_an_error() throws Exception {
    try (EventLoop loop = EventLoop.start("test", 10, () -> {})) {
      // when: such as the stack overflow of a deeply nested message
      loop.execute(
          () -> {
            throw new StackOverflowError("expected by the test");
          });
      // then
      assertRunsTasks(loop);
    }
  }

  /** Regression (LOST, review/6): the loop went on with what a full heap had left of its state. */
  @Test
  public void should_hand_over_an_error_of_a_full_heap() throws Exception {
    CompletableFuture<OutOfMemoryError> handled = new CompletableFuture<>();
    try (EventLoop loop = EventLoop.start("test", 10, () -> {}, handled::complete)) {
      // when
      loop.execute(
          () -> {
            throw new OutOfMemoryError("expected by the test");
          });
      // then
      assertThat(handled.get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)).hasMessageContaining("expected");
    }
  }

  @Test
  public void should_tick_before_the_first_task_after_a_pause_of_the_process() throws Exception {
    // given: ticks by time-out are further apart than the test lasts
    AtomicLong nowNanos = new AtomicLong();
    List<String> order = new CopyOnWriteArrayList<>();
    try (EventLoop loop =
        EventLoop.start("test", TICK_MS, () -> order.add("tick"), nowNanos::get)) {
      // when: the clock shows that the process has stood still
      nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(2 * TICK_MS));
      CompletableFuture<Boolean> ran = new CompletableFuture<>();
      loop.execute(
          () -> {
            order.add("task");
            ran.complete(true);
          });
      ran.get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
    }
    // then
    assertThat(order).startsWith("tick", "task");
  }

  private static void assertRunsTasks(EventLoop loop) throws Exception {
    CompletableFuture<Boolean> ran = new CompletableFuture<>();
    loop.execute(() -> ran.complete(true));
    assertThat(ran.get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
  }
}
