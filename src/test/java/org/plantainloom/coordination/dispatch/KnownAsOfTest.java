package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests the age of what a process knows while its clocks step or stand still. */
public class KnownAsOfTest {
  private static final long NOW_MS = 50_000;
  private static final long WALL_MS = 1_700_000_000_000L;
  private static final KnownAsOf KNOWN = new KnownAsOf(NOW_MS, WALL_MS);

  @Test
  public void should_be_too_old_for_any_use_before_anything_is_known() {
    assertThat(KnownAsOf.NEVER.ageMs(NOW_MS, WALL_MS)).isGreaterThan(WALL_MS);
  }

  @Test
  public void should_count_a_suspension_during_which_the_monotonic_clock_stood_still() {
    assertThat(KNOWN.ageMs(NOW_MS + 10, WALL_MS + 4_000)).isEqualTo(4_000);
  }

  @Test
  public void should_not_be_younger_as_the_wall_clock_was_set_back() {
    assertThat(KNOWN.ageMs(NOW_MS + 4_000, WALL_MS - 60_000)).isEqualTo(4_000);
  }

  @Test
  public void should_keep_the_later_moment() {
    KnownAsOf earlier = new KnownAsOf(NOW_MS - 900, WALL_MS + 900);
    assertThat(KNOWN.latest(earlier)).isEqualTo(KNOWN);
    assertThat(earlier.latest(KNOWN)).isEqualTo(KNOWN);
  }
}
