package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests jobs that are submitted while a previous owner may still act. */
public class SubmissionDuringTakeoverTest {
  private static final JobSpec JOB = job("00000000000000aa", "urgent", tasks(2, 1_000));

  private static DispatcherSimulation takeOverWithSilentWorker() {
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 20_000;
    simulation.startOwner(2);
    simulation.workers.get(0).unreachable = true;
    return simulation;
  }

  private static List<TaskKey> taskKeys() {
    return List.of(new TaskKey(JOB.id(), 0, 0, 0), new TaskKey(JOB.id(), 0, 0, 1));
  }

  private static DispatchCommand.Start firstStart(List<DispatchCommand> commands) {
    return commands.stream()
        .filter(DispatchCommand.Start.class::isInstance)
        .map(DispatchCommand.Start.class::cast)
        .findFirst()
        .orElseThrow();
  }

  /** Regression (TWICE): a new owner started what a previous one had just started elsewhere. */
  @Test
  public void should_not_start_a_new_job_that_a_previous_owner_starts_on_an_unreached_worker() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 20_000;
    Dispatcher previous = simulation.dispatcher;
    simulation.startOwner(2);
    // when: both owners learn of the job, and the previous one may act for some time
    previous.jobSubmitted(JOB, simulation.nowMs);
    DispatchCommand.Start start = firstStart(previous.decide(simulation.nowMs, simulation.nowMs));
    SimulatedWorker unreached =
        simulation.workers.stream()
            .filter(worker -> worker.registration.id().equals(start.worker().id()))
            .findFirst()
            .orElseThrow();
    unreached.start(start, simulation.taskDurationMs);
    unreached.unreachable = true;
    simulation.submit(JOB).run(3_000);
    unreached.unreachable = false;
    simulation.run(3_000);
    // then
    assertThat(taskKeys())
        .allSatisfy(task -> assertThat(simulation.startCount(task)).isEqualTo(1))
        .allSatisfy(task -> assertThat(simulation.runningCopies(task)).isEqualTo(1));
  }

  @Test
  public void should_start_a_new_job_when_leases_of_previous_owners_are_over() {
    // given
    DispatcherSimulation simulation = takeOverWithSilentWorker();
    // when
    simulation.submit(JOB).run(OwnershipLease.longestActingMs());
    assertThat(simulation.runningCount()).isZero();
    simulation.run(DispatcherSimulation.MAX_LEASE_MS + 500);
    // then
    assertThat(simulation.runningCount()).isEqualTo(2);
  }

  @Test
  public void should_start_a_new_job_once_all_workers_have_answered() {
    // given
    DispatcherSimulation simulation = takeOverWithSilentWorker();
    simulation.submit(JOB).run(500);
    // when
    simulation.workers.get(0).unreachable = false;
    simulation.run(1_000);
    // then
    assertThat(simulation.runningCount()).isEqualTo(2);
  }
}
