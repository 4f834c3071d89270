package org.plantainloom.transport.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a process counts as one that cannot go on. */
public class VitalSignsTest {
  private static final long MAX_HEAP = 64L << 20;
  private static final long FULL = MAX_HEAP - 1024;
  private static final long ON_TIME_MS = VitalSigns.SAMPLE_INTERVAL_MS;

  private VitalSigns vitalSigns;
  private long tickCount;

  /** Starts with a process that nothing is known of. */
  @BeforeMethod
  public void start() {
    vitalSigns = new VitalSigns();
  }

  private Optional<String> sample(int count, long elapsedMs, long usedBytes, boolean ticks) {
    Optional<String> reason = Optional.empty();
    for (int i = 0; i < count && reason.isEmpty(); i++) {
      tickCount += ticks ? 1 : 0;
      reason = vitalSigns.sample(elapsedMs, usedBytes, MAX_HEAP, tickCount);
    }
    return reason;
  }

  @Test
  public void should_end_a_process_whose_heap_stays_full() {
    assertThat(sample(10, ON_TIME_MS, FULL, true))
        .hasValueSatisfying(r -> assertThat(r).contains("heap full"));
  }

  @Test
  public void should_not_end_a_process_that_collections_free() {
    for (int i = 0; i < 100; i++) {
      assertThat(sample(5, ON_TIME_MS, FULL, true)).isEmpty();
      assertThat(sample(1, ON_TIME_MS, MAX_HEAP / 2, true)).isEmpty();
    }
  }

  @Test
  public void should_end_a_process_whose_event_loop_no_longer_turns() {
    assertThat(sample(100, ON_TIME_MS, 0, false))
        .hasValueSatisfying(reason -> assertThat(reason).contains("event loop"));
  }

  @Test
  public void should_not_end_a_process_that_was_suspended() {
    // given
    sample(10, ON_TIME_MS, 0, true);
    // when: it was suspended for an hour, or is given little processor time
    assertThat(sample(1, 3_600_000, 0, false)).isEmpty();
    assertThat(sample(1_000, 2 * ON_TIME_MS, 0, false)).isEmpty();
  }

  @Test
  public void should_not_end_a_process_whose_event_loop_is_busy_for_seconds() {
    for (int i = 0; i < 10; i++) {
      assertThat(sample(20, ON_TIME_MS, 0, false)).isEmpty();
      assertThat(sample(1, ON_TIME_MS, 0, true)).isEmpty();
    }
  }
}
