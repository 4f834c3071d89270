package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests what an owner knows of the latest time that a worker's clock may show. */
public class LatestWorkerClockTest {
  private final ElapsedTime elapsed = new ElapsedTime();

  @Test
  public void should_count_an_answer_from_when_its_poll_was_sent() {
    // given
    LatestWorkerClock clock = new LatestWorkerClock();
    assertThat(clock.latestMs(0)).isEmpty();
    // when: the worker has held the poll, for how long is not known
    clock.answered(9_000, 1_000, 2_000);
    // then
    assertThat(clock.latestMs(2_000)).hasValue(9_000 + ClockDrift.longestMs(1_000));
  }

  @Test
  public void should_keep_an_older_answer_to_a_shorter_poll() {
    // given
    LatestWorkerClock clock = new LatestWorkerClock();
    clock.answered(9_000, 1_000, 1_010);
    // when
    clock.answered(10_900, 1_010, 3_000);
    // then
    assertThat(clock.latestMs(3_000)).hasValue(9_000 + ClockDrift.longestMs(2_000));
    // and a short one replaces it
    clock.answered(11_000, 3_000, 3_010);
    assertThat(clock.latestMs(3_010)).hasValue(11_000 + ClockDrift.longestMs(10));
  }

  @Test
  public void should_ask_for_a_poll_that_does_not_wait_from_time_to_time() {
    LatestWorkerClock clock = new LatestWorkerClock();
    assertThat(clock.beginRefreshIfDue(0)).isTrue();
    clock.answered(9_000, 1_000, 1_010);
    assertThat(clock.beginRefreshIfDue(1_010)).isFalse();
    assertThat(clock.beginRefreshIfDue(10_000)).isTrue();
  }

  /** Regression: polls without a wait followed one another while answers took long. */
  @Test
  public void should_not_repeat_a_poll_that_does_not_wait_if_its_answer_told_nothing() {
    // given
    LatestWorkerClock clock = new LatestWorkerClock();
    clock.answered(9_000, 1_000, 1_010);
    assertThat(clock.beginRefreshIfDue(4_100)).isTrue();
    // when: the answer takes 300 ms
    clock.answered(12_300, 4_100, 4_400);
    // then
    assertThat(clock.beginRefreshIfDue(4_400)).isFalse();
    assertThat(clock.beginRefreshIfDue(7_200)).isTrue();
  }

  @Test
  public void should_count_the_time_for_which_the_vm_was_suspended() {
    elapsed.advanceTo(1_000, 50_000);
    assertThat(elapsed.advanceTo(1_100, 55_100)).isEqualTo(5_100);
    // and the wall clock is set back later
    assertThat(elapsed.advanceTo(1_200, 50_200)).isEqualTo(5_200);
    assertThat(elapsed.ms()).isEqualTo(5_200);
  }
}
