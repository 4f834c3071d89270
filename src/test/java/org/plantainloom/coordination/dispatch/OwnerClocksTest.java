package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what samples of an owner's clocks prove about its last confirmation. */
public class OwnerClocksTest {
  private static final long TERM = 3;

  /** The owner's monotonic clock is this far behind the one of the process that samples it. */
  private static final long OFFSET_MS = 40_000;

  private static final long WALL_MS = 1_700_000_000_000L;
  private static final long DELAY_MS = 30;

  private OwnerClocks clocks;

  /** Begins without samples. */
  @BeforeMethod
  public void start() {
    clocks = new OwnerClocks();
  }

  private static OwnerTime at(long ms) {
    return new OwnerTime(TERM, ms, WALL_MS + ms);
  }

  private void sample(long ms, long delayMs) {
    clocks.sampled(at(ms), ms + OFFSET_MS + delayMs);
  }

  @Test
  public void should_tell_the_last_confirmation_from_the_sample_that_took_the_least_time() {
    // given
    sample(1_000, 300);
    sample(1_500, DELAY_MS);
    sample(2_000, 250);
    // when
    long confirmedMs = clocks.latestConfirmationMs(at(2_000)).orElseThrow();
    // then
    assertThat(confirmedMs).isEqualTo(1_500 + OFFSET_MS + DELAY_MS + ClockDrift.longestMs(500));
  }

  @Test
  public void should_allow_for_an_owner_whose_clock_runs_slow_beside_a_fast_one() {
    // given: only the first sample was received at once
    sample(1_000, 0);
    for (long ms = 2_000; ms <= 11_000; ms += 1_000) {
      sample(ms, 5_000);
    }
    // when: this process's clock shows the most for 10 s of the owner's
    long lastMs = 1_000 + OFFSET_MS + (long) (10_000 / 0.98 * 1.02);
    // then
    assertThat(clocks.latestConfirmationMs(at(11_000)).orElseThrow())
        .isGreaterThanOrEqualTo(lastMs);
  }

  @Test
  public void should_not_take_a_repeated_or_older_sample_for_a_newer_one() {
    // given
    sample(1_000, DELAY_MS);
    sample(1_500, DELAY_MS);
    // when
    clocks.sampled(at(1_500), 90_000);
    clocks.sampled(at(1_000), 95_000);
    // then
    assertThat(clocks.latestConfirmationMs(at(1_500))).hasValue(1_500 + OFFSET_MS + DELAY_MS);
  }

  @Test
  public void should_count_the_wall_clock_where_the_monotonic_clock_stood_still() {
    // given: the VM was suspended for 0.5 s between the sample and the last confirmation
    sample(1_000, DELAY_MS);
    OwnerTime last = new OwnerTime(TERM, 1_400, WALL_MS + 1_900);
    // then
    assertThat(clocks.latestConfirmationMs(last))
        .hasValue(1_000 + OFFSET_MS + DELAY_MS + ClockDrift.longestMs(900));
  }

  /** Regression (TWICE): over both steps together, each clock had lost five seconds. */
  @Test
  public void should_not_be_too_early_if_the_vm_was_suspended_and_its_wall_clock_was_set_back() {
    // given: each sample is received at once
    for (long ms = 500; ms < 10_000; ms += 500) {
      long suspendedMs = ms > 1_000 ? 5_000 : 0;
      long setBackMs = ms > 3_000 ? 5_000 : 0;
      OwnerTime time = new OwnerTime(TERM, ms, WALL_MS + ms + suspendedMs - setBackMs);
      clocks.sampled(time, ms + suspendedMs + OFFSET_MS);
    }
    // when
    OwnerTime last = new OwnerTime(TERM, 9_900, WALL_MS + 9_900);
    // then
    assertThat(clocks.latestConfirmationMs(last).orElseThrow())
        .isGreaterThanOrEqualTo(9_900 + 5_000 + OFFSET_MS);
  }

  @Test
  public void should_know_nothing_if_both_clocks_may_have_lost_time_since_the_last_sample() {
    // given
    sample(1_000, DELAY_MS);
    // then
    assertThat(clocks.latestConfirmationMs(at(1_000 + OwnershipLease.ACTING_MS + 1))).isEmpty();
  }

  @Test
  public void should_count_the_monotonic_clock_where_the_wall_clock_was_set_back() {
    // given
    sample(1_000, DELAY_MS);
    OwnerTime last = new OwnerTime(TERM, 1_400, WALL_MS - 60_000);
    // then
    assertThat(clocks.latestConfirmationMs(last))
        .hasValue(1_000 + OFFSET_MS + DELAY_MS + ClockDrift.longestMs(400));
  }

  @Test
  public void should_know_nothing_without_a_sample_of_that_owner() {
    // given
    clocks.sampled(new OwnerTime(TERM - 1, 900, WALL_MS), 900);
    // then
    assertThat(clocks.latestConfirmationMs(at(1_000))).isEmpty();
  }

  @Test
  public void should_know_nothing_if_a_sample_is_later_than_the_last_confirmation() {
    // given: somebody else wrote one of them
    sample(5_000, DELAY_MS);
    // then
    assertThat(clocks.latestConfirmationMs(at(4_000))).isEmpty();
  }

  @Test
  public void should_allow_for_earlier_owners_until_the_first_confirmation_of_the_last_one() {
    // given: the first sample was received late, the later ones were not
    sample(1_000, 5_000);
    sample(1_500, DELAY_MS);
    // then
    assertThat(clocks.latestConfirmationMs(at(1_500))).hasValue(1_000 + OFFSET_MS + 5_000);
  }
}
