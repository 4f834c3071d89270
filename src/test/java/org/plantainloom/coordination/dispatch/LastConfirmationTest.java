package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests how a new owner dates the last confirmation of the owner before. */
public class LastConfirmationTest {
  private static final OwnerTime SENT = new OwnerTime(4, 70_000, 1_700_000_000_000L);
  private static final String WORKER = "w";
  private static final long STARTED_MS = 7;

  /** The worker's clock when the confirmation was sent. */
  private static final long CLOCK_MS = 20_000;

  private static final long NOW_MS = 500_000;

  private static LastConfirmation confirmation(OwnerClocks clocks) {
    return new LastConfirmation(
        SENT, Optional.of(List.of(new WorkerClockReading(WORKER, STARTED_MS, CLOCK_MS))), clocks);
  }

  /** What a worker's clock tells a process that has just started. */
  public static class ByWorkerClock {
    /** Regression (LOST): a successor that had just started counted from its first sample. */
    @Test
    public void should_be_as_old_as_a_worker_clock_tells_at_least() {
      // given
      LastConfirmation confirmation = confirmation(new OwnerClocks());
      assertThat(confirmation.latestMs()).isEmpty();
      // when
      boolean gained = confirmation.workerClockRead(WORKER, STARTED_MS, CLOCK_MS + 5_000, NOW_MS);
      // then: the worker's clock may be fast, and this one slow
      assertThat(gained).isTrue();
      assertThat(confirmation.latestMs()).hasValue(NOW_MS - ClockDrift.shortestMs(5_000));
    }

    @Test
    public void should_count_the_reading_that_tells_the_most() {
      // given
      LastConfirmation confirmation = confirmation(new OwnerClocks());
      confirmation.workerClockRead(WORKER, STARTED_MS, CLOCK_MS + 5_000, NOW_MS);
      // when: an answer that took long
      boolean gained =
          confirmation.workerClockRead(WORKER, STARTED_MS, CLOCK_MS + 5_000, NOW_MS + 400);
      // then
      assertThat(gained).isFalse();
      assertThat(confirmation.latestMs()).hasValue(NOW_MS - ClockDrift.shortestMs(5_000));
    }

    /** Each life of a worker begins a clock of its own. */
    @Test
    public void should_learn_nothing_from_another_life_of_the_worker() {
      LastConfirmation confirmation = confirmation(new OwnerClocks());
      confirmation.workerClockRead(WORKER, STARTED_MS + 1, CLOCK_MS + 5_000, NOW_MS);
      confirmation.workerClockRead(WORKER, 0, CLOCK_MS + 5_000, NOW_MS);
      confirmation.workerClockRead("other", STARTED_MS, CLOCK_MS + 5_000, NOW_MS);
      assertThat(confirmation.latestMs()).isEmpty();
    }

    @Test
    public void should_not_be_in_the_future_if_the_worker_clock_is_behind_the_reading() {
      LastConfirmation confirmation = confirmation(new OwnerClocks());
      confirmation.workerClockRead(WORKER, STARTED_MS, CLOCK_MS - 300, NOW_MS);
      assertThat(confirmation.latestMs()).hasValue(NOW_MS);
    }

    @Test
    public void should_date_the_ends_of_leases_that_the_owner_has_stored() {
      // given
      LastConfirmation confirmation = confirmation(new OwnerClocks());
      // when
      confirmation.workerClockRead(WORKER, STARTED_MS, CLOCK_MS + 5_000, NOW_MS);
      // then
      assertThat(confirmation.latestMs(SENT.plus(3_000)))
          .hasValue(NOW_MS - ClockDrift.shortestMs(5_000) + ClockDrift.longestMs(3_000));
      assertThat(confirmation.latestMs(new OwnerTime(2, 70_000, SENT.wallMs()))).isEmpty();
    }
  }

  /** What samples tell that this process has taken itself. */
  public static class BySamples {
    @Test
    public void should_count_a_sample_if_no_worker_tells_more() {
      // given
      OwnerClocks clocks = new OwnerClocks();
      clocks.sampled(SENT, NOW_MS - 6_000);
      LastConfirmation confirmation = confirmation(clocks);
      // when
      confirmation.workerClockRead(WORKER, STARTED_MS, CLOCK_MS + 5_000, NOW_MS);
      // then
      assertThat(confirmation.latestMs()).hasValue(NOW_MS - 6_000);
    }

    /** The claim of an older release counts as confirmation, and may be carried out late. */
    @Test
    public void should_not_date_an_older_release_before_its_first_sample() {
      // given
      OwnerClocks clocks = new OwnerClocks();
      clocks.sampled(SENT, NOW_MS);
      // then
      assertThat(new LastConfirmation(SENT.plus(-400), Optional.empty(), clocks).latestMs())
          .isEmpty();
      assertThat(new LastConfirmation(SENT, Optional.empty(), clocks).latestMs()).hasValue(NOW_MS);
    }
  }
}
