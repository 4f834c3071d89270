package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainloom.platform.standin.ObservedRun;
import org.plantainloom.platform.standin.RunObserver;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.platform.standin.WorkerLayout;
import org.testng.annotations.Test;

/** Tests simulated workers that carry out start commands late. */
public class DelayedStartTest {
  private static final String TASK = "00000000000000aa.0.0.0";
  private static final long LONG_TASK_MS = 60_000;
  private static final long DELAY_MS = 300;
  private static final long LEASE_MS = 5_000;
  private static final long PATIENCE_MS = 10_000;

  private final BlockingQueue<ObservedRun> started = new LinkedBlockingQueue<>();

  private final RunObserver observer =
      new RunObserver() {
        @Override
        public void started(ObservedRun run, String payload) {
          started.add(run);
        }

        @Override
        public void ended(ObservedRun run, String outcome) {}

        @Override
        public void endReportLost(ObservedRun run) {}
      };

  private SimulatedPlatform startPlatform() {
    started.clear();
    return SimulatedPlatform.start(new WorkerLayout(1, 1, LONG_TASK_MS, false), observer);
  }

  private static CompletableFuture<AggregatedHttpResponse> start(
      SimulatedPlatform platform, long runNumber) {
    long deadlineMs = System.nanoTime() / 1_000_000 + LEASE_MS;
    return WebClient.of("h1c://" + platform.workerAddress(0))
        .execute(
            HttpRequest.of(
                HttpMethod.POST,
                "/-/run-start",
                MediaType.JSON,
                "{\"task-id\":\""
                    + TASK
                    + "\",\"run-id\":"
                    + runNumber
                    + ",\"spec\":\"work\",\"deadline-ms\":"
                    + deadlineMs
                    + ",\"fencing-token\":1}"))
        .aggregate();
  }

  @Test
  public void should_carry_out_a_start_late_without_a_response_and_tell_the_observer()
      throws Exception {
    try (SimulatedPlatform platform = startPlatform()) {
      // given
      platform.setWorkerStartDelay(0, DELAY_MS);
      // when
      CompletableFuture<AggregatedHttpResponse> response = start(platform, 1);
      ObservedRun run = started.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
      // then
      assertThat(run).isNotNull();
      assertThat(run.delayed()).isTrue();
      assertThat(response).isNotDone();
    }
  }
}
