package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests what a new owner concludes of the runs of jobs that it has not read yet. */
public class UnreadJobsTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);
  private static final JobSpec JOB = job(ID, "urgent", tasks(1, 1_000));

  /** Longer than any lease of a previous owner lasts after a takeover. */
  private static final long LEASES_OVER_MS = 12_000;

  /** Regression (TWICE): once the leases were over, an unread job counted as a removed one. */
  @Test
  public void should_not_run_a_job_again_whose_end_was_listed_before_a_late_watch_told_of_it() {
    // given: the former owner read and started a job at the last moment
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.submit(JOB).run(100);
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    // when
    simulation.startOwner(2);
    simulation.dispatcher.jobsRestored();
    simulation.watchAnswered = false;
    simulation.run(LEASES_OVER_MS);
    simulation.watchAnswered = true;
    simulation.submit(JOB).run(2_000);
    // then
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.COMPLETED);
  }
}
