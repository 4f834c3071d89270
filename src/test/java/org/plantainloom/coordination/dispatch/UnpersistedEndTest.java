package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests ends of runs that the owner knows, and the store does not. */
public class UnpersistedEndTest {
  private static final JobSpec JOB = job("00000000000000aa", "urgent", tasks(1, 1_000));
  private static final TaskKey TASK = new TaskKey(JOB.id(), 0, 0, 0);

  /** Regression (TWICE): the list of workers said that a silent worker does not run the task. */
  @Test
  public void should_not_run_a_task_again_whose_end_was_not_stored_before_its_worker_was_silent() {
    // given: the end is known to the owner, and its progress is not stored
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.persisting = false;
    simulation.submit(JOB).run(1_000);
    SimulatedWorker worker =
        simulation.workers.stream().filter(w -> w.starts.containsKey(TASK)).findFirst().get();
    assertThat(worker.running).isEmpty();
    // when: the worker is silent, the list of workers is stored, and the owner is replaced
    worker.unreachable = true;
    simulation.run(2_500);
    simulation.persisting = true;
    simulation.startOwner(2);
    simulation.dispatcher.restoreJob(JOB, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    simulation.run(2_000);
    // then
    assertThat(simulation.startCount(TASK)).isEqualTo(1);
    // and the end is taken from the worker
    worker.unreachable = false;
    simulation.run(1_000);
    assertThat(simulation.startCount(TASK)).isEqualTo(1);
    assertThat(simulation.status(JOB.id())).isEqualTo(JobStatus.COMPLETED);
  }
}
