package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests jobs that a previous owner has read and started before the new owner reads them. */
public class LateSubmissionTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);
  private static final JobSpec JOB = job(ID, "urgent", tasks(1, 1_000));

  private static DispatcherSimulation started(int runMs) {
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = runMs;
    simulation.submit(JOB).run(10);
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    return simulation;
  }

  @Test
  public void should_not_run_a_task_again_whose_end_was_listed_before_its_job_was_read() {
    // given: the run has ended as done before the new owner polls
    DispatcherSimulation simulation = started(50).runWithoutOwner(100);
    simulation.startOwner(2).run(50);
    // when
    simulation.submit(JOB).run(2_000);
    // then
    assertThat(simulation.startCount(FIRST)).as(simulation.log.toString()).isEqualTo(1);
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
  }

  @Test
  public void should_not_start_a_task_beside_a_run_that_was_listed_before_its_job_was_read() {
    DispatcherSimulation simulation = started(5_000).startOwner(2);
    SimulatedWorker first =
        simulation.workers.stream().filter(w -> w.running.containsKey(FIRST)).findAny().get();
    // the stop takes its time, as the run saves its state
    first.stopsLate = true;
    simulation.run(50).submit(JOB);
    for (int i = 0; i < 40; i++) {
      simulation.run(10);
      assertThat(simulation.runningCopies(FIRST))
          .as(simulation.log.toString())
          .isLessThanOrEqualTo(1);
    }
  }
}
