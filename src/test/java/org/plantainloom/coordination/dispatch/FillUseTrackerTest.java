package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.fill;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;

import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests the use of the processors over the half second that a measurement covers. */
public class FillUseTrackerTest {
  private static final int CORES = 32;

  private final WorkerState worker =
      new WorkerState(new SimulatedWorker("w", CORES).registration, 0);
  private final FillUseTracker tracker = new FillUseTracker();

  private double[] poll(long nowMs) {
    return tracker.update(worker, image -> 0, 1, nowMs);
  }

  private Run startFillTask() {
    JobState job = new JobState(job("j", "fill", fill(1, 8_000, "image")), 0);
    Run run = new Run(job.task(new TaskKey("j", 0, 0, 0)), 1, worker, 0);
    run.recentMeasurement = 8_000;
    worker.add(run);
    return run;
  }

  @Test
  public void should_count_a_running_fill_task_by_its_use() {
    // given
    startFillTask();
    // then
    assertThat(poll(1_000)).containsExactly(0.25);
  }

  @Test
  public void should_count_an_ended_fill_task_until_the_measurement_has_passed_it() {
    // given
    Run run = startFillTask();
    poll(1_000);
    worker.remove(run);
    // then
    assertThat(poll(1_400)).containsExactly(0.25);
    assertThat(poll(1_650)).containsExactly(0.125);
    assertThat(poll(1_900)).containsExactly(0.0);
  }
}
