package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.plantainloom.platform.standin.SimulatedPlatform;
import org.testng.annotations.Test;

/** Tests that the soak notices a store that responds late. */
public class StallProbeTest {
  private static final long ANY_TASK_MS = 50;
  private static final long PATIENCE_MS = 20_000;

  @Test
  public void should_report_a_late_response_with_its_time() throws Exception {
    try (SimulatedPlatform platform = SimulatedPlatform.start(1, ANY_TASK_MS)) {
      platform.setStoreDelay(StallProbe.STALL_MS + 200);
      long startMs = SoakRun.nowMs();
      try (StallProbe probe = StallProbe.start(platform.storeAddress())) {
        while (probe.stalls().isEmpty() && SoakRun.nowMs() < startMs + PATIENCE_MS) {
          Thread.sleep(50);
        }
        assertThat(probe.stalls())
            .allSatisfy(
                stall -> {
                  assertThat(stall.startMs()).isGreaterThanOrEqualTo(startMs);
                  assertThat(stall.endMs() - stall.startMs()).isGreaterThan(StallProbe.STALL_MS);
                })
            .isNotEmpty();
      }
    }
  }
}
