package org.plantainloom.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests of sums that exceed the range of an amount. */
public class ResourceVectorTest {
  private static final ResourceVector HUGE =
      new ResourceVector(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);
  private static final ResourceVector WORKER = new ResourceVector(32_000, 128_000, 0);

  @Test
  public void should_not_fit_in_a_worker_when_a_sum_exceeds_the_range() {
    assertThat(HUGE.plus(HUGE).fitsIn(WORKER)).isFalse();
    assertThat(HUGE.plus(HUGE).plus(HUGE).fitsIn(WORKER)).isFalse();
  }

  @Test
  public void should_leave_nothing_free_when_more_than_the_range_is_reserved() {
    // when
    ResourceVector free = WORKER.minus(HUGE).minus(HUGE);
    // then
    assertThat(WORKER.fitsIn(free)).isFalse();
    assertThat(free.isNonNegative()).isFalse();
  }
}
