package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobStatus;
import org.testng.annotations.Test;

/** Tests which jobs count as pending. */
public class PendingJobsTest {
  private static final String ID = "00000000000000aa";

  private static DispatcherSimulation submitTo(CommandReply startReply) {
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.taskDurationMs = 60_000;
    simulation.workers.get(0).startReply = startReply;
    return simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(50);
  }

  /** Regression (PendingCase): a start that the worker refused counted as the begin of its job. */
  @Test
  public void should_count_a_job_as_pending_while_workers_refuse_its_start() {
    // when
    DispatcherSimulation simulation = submitTo(CommandReply.UNHEALTHY);
    // then
    assertThat(simulation.commands).anyMatch(DispatchCommand.Start.class::isInstance);
    assertThat(simulation.dispatcher.queuedJobCount("urgent")).isEqualTo(1);
    assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.QUEUED);
  }

  @Test
  public void should_not_count_a_job_as_pending_once_a_worker_has_started_it() {
    // when
    DispatcherSimulation simulation = submitTo(CommandReply.OK);
    // then
    assertThat(simulation.dispatcher.queuedJobCount("urgent")).isZero();
    assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
  }

  @Test
  public void should_not_count_a_job_as_pending_once_a_worker_has_listed_its_end() {
    // given: the reply to the start is lost, so that the run is stopped
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.workers.get(0).startAnswersLost = true;
    // when
    simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(500);
    // then
    assertThat(simulation.dispatcher.queuedJobCount("urgent")).isZero();
  }
}
