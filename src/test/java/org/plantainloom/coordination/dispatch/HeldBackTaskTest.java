package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests tasks that silent workers may run for a previous owner. */
public class HeldBackTaskTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);
  private static final JobSpec JOB = job(ID, "urgent", tasks(1, 1_000));

  private static DispatcherSimulation takeOver(DispatcherSimulation simulation, long term) {
    JobProgress progress = simulation.persistedProgress.getOrDefault(ID, JobProgress.NONE);
    simulation.startOwner(term);
    simulation.dispatcher.restoreJob(JOB, progress, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    return simulation;
  }

  private static SimulatedWorker runningOn(DispatcherSimulation simulation) {
    return simulation.workers.stream().filter(w -> w.running.containsKey(FIRST)).findAny().get();
  }

  private static Optional<List<TaskKey>> stored(
      DispatcherSimulation simulation, SimulatedWorker worker) {
    return simulation.dispatcher.workers().stream()
        .filter(w -> w.id().equals(worker.registration.id()))
        .findAny()
        .get()
        .toFleetMember()
        .possibleTasks();
  }

  @Test
  public void should_not_start_a_task_that_another_silent_worker_may_run_when_one_answers() {
    for (int silent = 0; silent < 2; silent++) {
      // given: two silent workers may run the task; one of them does
      DispatcherSimulation simulation = new DispatcherSimulation(3, 8).run(100);
      simulation.taskDurationMs = 20_000;
      simulation.submit(JOB).run(500);
      SimulatedWorker running = runningOn(simulation);
      SimulatedWorker idle =
          simulation.workers.stream().filter(w -> w != running).toList().get(silent);
      running.unreachable = true;
      idle.unreachable = true;
      simulation.run(3_000);
      simulation.startOwnerWith(
          2,
          simulation.workers.stream()
              .map(
                  w ->
                      new FleetMember(
                          w.registration,
                          w.unreachable ? Optional.of(List.of(FIRST)) : Optional.empty()))
              .toList());
      simulation.dispatcher.restoreJob(JOB, JobProgress.NONE, 0, simulation.nowMs);
      simulation.dispatcher.jobsRestored();
      // when: the other one answers
      idle.unreachable = false;
      // then
      for (int i = 0; i < 100; i++) {
        simulation.run(100);
        assertThat(simulation.runningCopies(FIRST)).isLessThanOrEqualTo(1);
      }
    }
  }

  @Test
  public void should_start_a_task_once_while_workers_and_owners_change() {
    // given: the task of a silent worker has started again on another one
    DispatcherSimulation simulation = new DispatcherSimulation(3, 8).run(100);
    simulation.taskDurationMs = 60_000;
    simulation.workers.get(0).unreachable = true;
    simulation.run(3_000).submit(JOB).run(500);
    simulation.workers.get(0).unreachable = false;
    simulation.run(1_000);
    SimulatedWorker first = runningOn(simulation);
    first.unreachable = true;
    simulation.run(9_000);
    SimulatedWorker second = runningOn(simulation);
    assertThat(first).isSameAs(simulation.workers.get(1));
    assertThat(second).isSameAs(simulation.workers.get(0));
    // and: the next owner hears of that run, but its commands to the worker are lost
    takeOver(simulation, 2);
    second.unreachable = true;
    simulation.dispatcher.pollAnswered(
        second.registration,
        new PollReply.Answered(second.snapshot(simulation.nowMs)),
        simulation.nowMs,
        simulation.nowMs);
    simulation.run(1_500);
    assertThat(stored(simulation, second)).hasValue(List.of(FIRST));
    // when: only the first worker answers the third owner
    takeOver(simulation, 3);
    first.unreachable = false;
    for (int i = 0; i < 100; i++) {
      simulation.run(50);
      assertThat(simulation.runningCopies(FIRST)).as("copies at step " + i).isLessThanOrEqualTo(1);
    }
  }

  @Test
  public void should_log_that_the_lease_of_the_silent_worker_is_over_when_its_task_starts_again() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 20_000;
    simulation.submit(JOB).run(500);
    SimulatedWorker silent = runningOn(simulation);
    silent.unreachable = true;
    simulation.run(2_000);
    // when
    takeOver(simulation, 2).run(12_000);
    // then
    assertThat(simulation.log)
        .anySatisfy(
            line ->
                assertThat(line)
                    .contains("run-ordered " + FIRST + "#100001")
                    .contains("@" + silent.registration.id() + " taken-for=LOST by=LEASE_EXPIRED"));
  }

  @Test
  public void should_adopt_the_run_of_a_worker_that_was_silent_when_it_answers() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 20_000;
    simulation.submit(JOB).run(500);
    SimulatedWorker silent = runningOn(simulation);
    silent.unreachable = true;
    simulation.run(2_000);
    // when
    takeOver(simulation, 2).run(100);
    silent.unreachable = false;
    simulation.run(2_000);
    // then
    assertThat(silent.running).containsKey(FIRST);
    assertThat(simulation.log).noneMatch(line -> line.contains("run-unwanted"));
  }

  @Test
  public void should_not_start_a_job_that_a_previous_owner_may_have_read_first() {
    // given: the previous owner still acts, and reaches a worker that the new one does not reach
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 5_000;
    Dispatcher previous = simulation.dispatcher;
    simulation.startOwner(2);
    SimulatedWorker parted = simulation.workers.get(0);
    parted.unreachable = true;
    previous.jobSubmitted(JOB, simulation.nowMs);
    List<DispatchCommand.Start> late =
        previous.decide(simulation.nowMs, simulation.nowMs).stream()
            .filter(DispatchCommand.Start.class::isInstance)
            .map(DispatchCommand.Start.class::cast)
            .filter(start -> start.worker().id().equals(parted.registration.id()))
            .toList();
    assertThat(late).hasSize(1);
    parted.unreachable = false;
    parted.start(late.get(0), 5_000);
    parted.unreachable = true;
    // when
    simulation.submit(JOB);
    // then
    for (int i = 0; i < 40; i++) {
      simulation.run(100);
      assertThat(simulation.runningCopies(FIRST)).as("at " + i).isLessThanOrEqualTo(1);
    }
  }

  /** The next owner may rely on the end of the lease that the stored list names. */
  @Test
  public void should_not_renew_the_lease_of_a_worker_that_the_stored_list_calls_silent() {
    // given: the worker is silent, and the store has that
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.workers.get(0).unreachable = true;
    simulation.run(3_000);
    // when: it answers, and the list cannot be written
    simulation.persistingFleet = false;
    simulation.workers.get(0).unreachable = false;
    simulation.commands.clear();
    simulation.run(2_000);
    // then
    assertThat(simulation.commands)
        .isNotEmpty()
        .allSatisfy(
            command -> assertThat(((DispatchCommand.Poll) command).leaseUntilMs()).isEmpty());
    // and once it is written
    simulation.persistingFleet = true;
    simulation.run(100);
    assertThat(simulation.commands)
        .anySatisfy(
            command -> assertThat(((DispatchCommand.Poll) command).leaseUntilMs()).isPresent());
  }
}
