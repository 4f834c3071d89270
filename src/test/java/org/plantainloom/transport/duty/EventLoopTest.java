package org.plantainloom.transport.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests that a failing task does not end the loop. */
public class EventLoopTest {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_S = 30;

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

  private static void assertRunsTasks(EventLoop loop) throws Exception {
    CompletableFuture<Boolean> ran = new CompletableFuture<>();
    loop.execute(() -> ran.complete(true));
    assertThat(ran.get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
  }
}
