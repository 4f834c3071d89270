package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.stream.IntStream;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests for jobs of more tasks than can run at once. */
public class WideJobTest {
  private static final String ID = "00000000000000aa";
  private static final int TASKS = 20_000;

  /** Ten bytes for each task. */
  private static final long MAX_BYTES = 10L * TASKS;

  /** Regression (LOST): a few jobs of many tasks filled the heap of each owner in turn. */
  @Test
  public void should_not_need_memory_for_each_task_that_waits() {
    JobSpec job = job(ID, "urgent", tasks(TASKS, 500));
    assertThat(AllocatedBytes.of(() -> new JobState(job, 0))).isLessThan(MAX_BYTES);
  }

  @Test
  public void should_not_need_memory_for_each_task_that_waits_in_a_round() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.taskDurationMs = 60_000;
    simulation.submit(job(ID, "urgent", tasks(TASKS, 1_000))).run(500);
    // then
    assertThat(AllocatedBytes.of(() -> simulation.run(10))).isLessThan(MAX_BYTES);
  }

  @Test
  public void should_not_need_memory_for_each_lasting_task_that_waits_in_a_round() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.submit(job(ID, "urgent", serving(TASKS, 1_000, ""))).run(3_000);
    // then
    assertThat(simulation.runningCount()).isEqualTo(8);
    assertThat(AllocatedBytes.of(() -> simulation.run(10))).isLessThan(MAX_BYTES);
  }

  @Test
  public void should_run_each_task_once_over_changes_of_owner() {
    // given
    int count = 2_000;
    DispatcherSimulation simulation = new DispatcherSimulation(4, 32).run(100);
    JobSpec job = job(ID, "urgent", tasks(count, 1_000), tasks(1, 500, 0));
    simulation.submit(job);
    // when
    for (int term = 2; term < 6; term++) {
      simulation.run(730).startOwner(term);
      simulation.dispatcher.restoreJob(
          job, simulation.persistedProgress.get(ID), 1, simulation.nowMs);
      simulation.dispatcher.jobsRestored();
    }
    simulation.run(30_000);
    // then
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    assertThat(IntStream.range(0, count))
        .allMatch(index -> simulation.startCount(new TaskKey(ID, 0, 0, index)) == 1);
  }

  @Test
  public void should_complete_a_job_of_which_few_tasks_fit_at_once() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 4).run(100);
    simulation.taskDurationMs = 20;
    // when
    simulation.submit(job(ID, "urgent", tasks(200, 1_000))).run(10_000);
    // then
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
  }
}
