package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.testng.annotations.Test;

/** Tests the takeover by a new owner after the previous one was killed. */
public class TakeoverTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);

  private static DispatcherSimulation takeOver(DispatcherSimulation simulation, JobSpec job) {
    JobProgress progress = simulation.persistedProgress.getOrDefault(job.id(), JobProgress.NONE);
    simulation.startOwner(2);
    simulation.dispatcher.restoreJob(job, progress, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    return simulation;
  }

  @Test
  public void should_adopt_running_tasks_and_start_nothing_twice() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(3, 8).run(100);
    simulation.taskDurationMs = 2_000;
    JobSpec job = job(ID, "urgent", tasks(6, 1_000));
    simulation.submit(job).run(500);
    // when
    takeOver(simulation, job).run(3_000);
    // then
    for (int i = 0; i < 6; i++) {
      assertThat(simulation.startCount(new TaskKey(ID, 0, 0, i))).isEqualTo(1);
    }
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
  }

  @Test
  public void should_store_a_silent_worker_again_that_may_run_more_than_a_late_write_says() {
    // given: the list names a silent worker without tasks, and its write is not answered yet
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.workers.get(0).unreachable = true;
    simulation.run(3_000);
    List<FleetMember> writing =
        List.of(new FleetMember(simulation.workers.get(0).registration, Optional.of(List.of())));
    // when: the worker answers, runs a task, and is silent again before the write is confirmed
    simulation.workers.get(0).unreachable = false;
    simulation.taskDurationMs = 20_000;
    simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(3_000);
    simulation.workers.get(0).unreachable = true;
    simulation.run(3_000);
    WorkerState worker = simulation.dispatcher.workers().iterator().next();
    worker.persisted = false;
    simulation.dispatcher.fleetPersisted(writing, false);
    // then: the next owner must not start the task elsewhere
    assertThat(simulation.dispatcher.unpersistedFleet().orElseThrow().get(0).possibleTasks())
        .hasValue(List.of(FIRST));
  }

  @Test
  public void should_show_an_adopted_job_as_active() {
    // given: regression (soak test, seed 103): a job was reported as queued although the new owner
    // had adopted its runs
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    JobSpec job = job(ID, "urgent", serving(2, 1_000, ""));
    simulation.submit(job).run(500);
    // when
    takeOver(simulation, job).run(500);
    // then
    assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
  }

  @Test
  public void should_adopt_a_run_that_is_listed_beside_an_older_end_of_its_task() {
    // given: a task was stopped and started again, and neither was acknowledged
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 5_000;
    simulation.persisting = false;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    simulation.submit(job).run(100);
    SimulatedWorker worker =
        simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 1 : 0);
    SimulatedWorker.SimulatedRun run = worker.running.get(FIRST);
    worker.end(FIRST, RunOutcome.STOPPED);
    worker.running.put(FIRST, new SimulatedWorker.SimulatedRun(run.number + 1, run.phase, 5_000));
    // when
    takeOver(simulation, job).run(1_000);
    // then
    assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_not_start_inherited_tasks_while_a_worker_has_not_answered() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 60_000;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    simulation.submit(job).run(100);
    SimulatedWorker holder =
        simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 1 : 0);
    holder.unreachable = true;
    // when
    takeOver(simulation, job).run(5_000);
    // then: the lease of the unreachable worker may still be valid
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    assertThat(simulation.log)
        .anyMatch(
            line ->
                line.contains(
                    "takeover-waits fleet unanswered=1 first=[" + holder.registration.id() + "]"));
    // and the task starts again after the lease must have expired
    simulation.run(4_000);
    assertThat(simulation.startCount(FIRST)).isEqualTo(2);
    assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_keep_the_resources_of_a_stopping_run_reserved() {
    // given: a cancelled job whose task the worker does not stop at once
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.taskDurationMs = 60_000;
    JobSpec job = job(ID, "urgent", tasks(1, 8_000));
    simulation.submit(job).run(100);
    takeOver(simulation, job);
    simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
    // when
    simulation.submit(job("00000000000000bb", "urgent", tasks(1, 8_000)));
    simulation.run(2_000);
    // then
    assertThat(simulation.log.toString()).contains("run-unwanted");
    assertThat(simulation.runningCount()).isEqualTo(1);
  }

  /** Regression (review/4): it was taken for gone, and its tasks ran elsewhere beside its own. */
  @Test
  public void should_wait_for_the_lease_of_a_draining_worker_without_registration() {
    // given: the stored list contains a draining worker that does not reach the store any more
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    simulation.taskDurationMs = 60_000;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    simulation.submit(job).run(100);
    SimulatedWorker holder =
        simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 1 : 0);
    simulation.run(500);
    holder.unreachable = true;
    takeOver(simulation, job);
    simulation.dispatcher.workerRegistered(holder.drainingRegistration(), simulation.nowMs);
    simulation.dispatcher.workerUnregistered(holder.registration.id());
    // when
    simulation.run(4_500);
    // then
    assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    simulation.run(4_500);
    assertThat(simulation.startCount(FIRST)).isEqualTo(2);
    assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_record_that_a_worker_is_draining() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    assertThat(simulation.dispatcher.unpersistedFleet()).isEmpty();
    // when
    simulation.dispatcher.workerRegistered(
        simulation.workers.get(0).drainingRegistration(), simulation.nowMs);
    // then
    assertThat(simulation.dispatcher.unpersistedFleet().get().get(0).entry().draining()).isTrue();
  }

  @Test
  public void should_record_that_a_worker_is_draining_even_if_a_previous_owner_listed_it() {
    // given: regression (hengtai, scale-1): the owner after a second one waited 6 s for a worker
    // that had left, as the second one had not stored that it was draining
    DispatcherSimulation simulation =
        new DispatcherSimulation(1, 8).run(100).startOwner(2).run(100);
    // when
    simulation.dispatcher.workerRegistered(
        simulation.workers.get(0).drainingRegistration(), simulation.nowMs);
    // then
    assertThat(simulation.dispatcher.unpersistedFleet().get().get(0).entry().draining()).isTrue();
  }

  @Test
  public void should_start_tasks_that_a_known_unreachable_worker_cannot_run() {
    // given: before it was killed, the previous owner stored what the unreachable worker may run
    DispatcherSimulation simulation = new DispatcherSimulation(3, 8).run(100);
    simulation.taskDurationMs = 60_000;
    JobSpec held = job(ID, "urgent", tasks(1, 1_000));
    simulation.submit(held).run(100);
    simulation.workers.stream()
        .filter(worker -> !worker.running.isEmpty())
        .forEach(worker -> worker.unreachable = true);
    simulation.run(3_000);
    // when
    JobSpec waiting = job("00000000000000bb", "urgent", tasks(1, 1_000));
    takeOver(simulation, waiting);
    simulation.dispatcher.restoreJob(held, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    simulation.run(500);
    // then
    assertThat(simulation.startCount(new TaskKey("00000000000000bb", 0, 0, 0))).isEqualTo(1);
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    // and the task that it may run starts again after its lease must have expired
    simulation.run(9_000);
    assertThat(simulation.startCount(FIRST)).isEqualTo(2);
    assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_fail_a_job_whose_last_failure_is_read_before_the_queues() {
    // given: regression (hengtai, scale-1): the owner was killed after the third failure, before
    // the failure was persisted
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.workers.get(0).failing = true;
    simulation.persisting = false;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    simulation.submit(job).run(3_000);
    assertThat(simulation.startCount(FIRST)).isEqualTo(3);
    // when
    simulation.startOwnerWithoutConfig(2);
    simulation.dispatcher.restoreJob(job, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    simulation.run(500);
    simulation.persisting = true;
    simulation.dispatcher.configure(DispatcherSimulation.config(), simulation.nowMs);
    simulation.run(2_000);
    // then
    assertThat(simulation.startCount(FIRST)).isEqualTo(3);
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.FAILED);
  }

  @Test
  public void should_renew_the_lease_of_each_worker_that_answers_before_the_jobs_are_known() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100).startOwner(2);
    // when
    InheritedWorkers inherited = simulation.dispatcher.inheritedWorkers();
    var commands = inherited.polls(simulation.nowMs, simulation.nowMs);
    for (SimulatedWorker worker : simulation.workers) {
      var answer = new PollReply.Answered(worker.snapshot(simulation.nowMs));
      inherited.answered(worker.registration, answer, simulation.nowMs, simulation.nowMs);
    }
    simulation.begin();
    // then
    assertThat(commands).hasSize(2);
    assertThat(inherited.renewals(simulation.nowMs, simulation.nowMs))
        .hasSize(2)
        .allSatisfy(
            renewal ->
                assertThat(renewal.leaseUntilMs())
                    .isEqualTo(simulation.nowMs + DispatcherSimulation.MAX_LEASE_MS));
  }

  @Test
  public void should_renew_no_lease_before_the_first_confirmation_of_the_new_owner() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100).startOwner(2);
    InheritedWorkers inherited = simulation.dispatcher.inheritedWorkers();
    SimulatedWorker worker = simulation.workers.get(0);
    inherited.polls(simulation.nowMs, simulation.nowMs);
    // when
    var answer = new PollReply.Answered(worker.snapshot(simulation.nowMs));
    var renewal =
        inherited.answered(worker.registration, answer, simulation.nowMs, simulation.nowMs);
    // then
    assertThat(renewal).isEmpty();
    assertThat(inherited.renewals(simulation.nowMs, simulation.nowMs)).isEmpty();
  }

  @Test
  public void should_not_renew_the_lease_of_a_worker_that_has_not_answered() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100).startOwner(2);
    InheritedWorkers inherited = simulation.dispatcher.inheritedWorkers();
    // when
    var commands = inherited.polls(simulation.nowMs, simulation.nowMs);
    // then: runs that the new owner does not know of would go on
    assertThat(commands)
        .hasSize(2)
        .allSatisfy(
            command -> assertThat(((DispatchCommand.Poll) command).leaseUntilMs()).isEmpty());
    var noAnswer = new PollReply.Unavailable("no answer");
    WorkerRegistration silent = simulation.workers.get(0).registration;
    assertThat(inherited.answered(silent, noAnswer, simulation.nowMs, simulation.nowMs)).isEmpty();
    // and also once the owner may act
    simulation.nowMs += 400;
    simulation.begin();
    assertThat(inherited.renewals(simulation.nowMs, simulation.nowMs)).isEmpty();
  }

  @Test
  public void should_number_runs_above_those_of_previous_owners() {
    // given
    DispatcherSimulation simulation =
        new DispatcherSimulation(1, 8).run(100).startOwner(3).run(100);
    // when
    simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(50);
    // then
    assertThat(simulation.workers.get(0).running.get(FIRST).number).isGreaterThan(200_000);
  }

  @Test
  public void should_not_count_a_failure_twice() {
    // given: a failed run is persisted, but its acknowledgement did not reach the worker
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.workers.get(0).failing = true;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    simulation.submit(job).run(230);
    assertThat(simulation.persistedProgress.get(ID).failures().get(FIRST.toString())).hasSize(1);
    simulation.workers.get(0).failing = false;
    // when
    takeOver(simulation, job).run(2_000);
    // then
    assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
  }

  /** When the leases of previous owners are over. */
  public static class InheritedLeases {
    private static final long PLATFORM_LEASE_MS = 10_000;

    private static Dispatcher takeOver() {
      DispatchPolicy policy = DispatchPolicy.of(PLATFORM_LEASE_MS, 400);
      return new Dispatcher(2, policy, new OwnershipLease(), (event, subject, detail) -> {}, 0);
    }

    @Test
    public void should_wait_for_the_longest_lease_of_the_platform_after_an_unknown_owner() {
      // given: owners of older releases give leases as long as the platform allows
      Dispatcher dispatcher = takeOver();
      // then
      assertThat(dispatcher.areInheritedLeasesOver(PLATFORM_LEASE_MS)).isFalse();
    }

    @Test
    public void should_wait_from_when_a_previous_owner_stopped_although_that_was_after_a_pause() {
      // given: it was paused, renewed a lease when it woke 3 s after the takeover, and stopped then
      Dispatcher dispatcher = takeOver();
      dispatcher.previousOwnersKnown();
      // when
      dispatcher.previousOwnersStopped(3_000);
      // then
      assertThat(dispatcher.areInheritedLeasesOver(3_000 + DispatcherSimulation.MAX_LEASE_MS))
          .isFalse();
    }
  }

  /** A stored list of workers that was not readable as a whole. */
  public static class IncompleteFleet {
    private static final String NEW_ID = "00000000000000bb";

    private static DispatcherSimulation takeOverIncompleteFleet() {
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      takeOver(simulation, job(ID, "urgent", tasks(1, 1_000)));
      simulation.dispatcher.fleetIncomplete();
      return simulation;
    }

    @Test
    public void should_wait_for_the_leases_of_unknown_workers_although_all_known_ones_answer() {
      // given
      DispatcherSimulation simulation = takeOverIncompleteFleet();
      // when: the longest lease of a previous owner may still be valid
      simulation.run(DispatcherSimulation.MAX_LEASE_MS);
      // then
      assertThat(simulation.startCount(FIRST)).isZero();
      // and the task starts after the lease must have expired
      simulation.run(4_000);
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_start_new_jobs_at_once() {
      // given
      DispatcherSimulation simulation = takeOverIncompleteFleet();
      // when
      simulation.submit(job(NEW_ID, "urgent", tasks(1, 1_000))).run(1_000);
      // then
      assertThat(simulation.status(NEW_ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_store_the_list_as_incomplete_until_the_leases_have_expired() {
      // given
      DispatcherSimulation simulation = takeOverIncompleteFleet();
      // when
      simulation.run(1_000);
      // then: the next owner has to wait as well
      assertThat(simulation.dispatcher.isFleetIncomplete()).isTrue();
      // and not any more later, although the known workers have not changed
      simulation.run(DispatcherSimulation.MAX_LEASE_MS + 4_000);
      assertThat(simulation.dispatcher.isFleetIncomplete()).isFalse();
      assertThat(simulation.dispatcher.unpersistedFleet()).isEmpty();
    }

    @Test
    public void should_store_the_whole_list_once_the_leases_have_expired() {
      // given
      DispatcherSimulation simulation = takeOverIncompleteFleet();
      simulation.run(DispatcherSimulation.MAX_LEASE_MS + 4_000);
      // when: a write from before was still stored as incomplete
      simulation.dispatcher.fleetPersisted(
          simulation.dispatcher.unpersistedFleet().orElse(List.of()), true);
      // then
      assertThat(simulation.dispatcher.unpersistedFleet().orElseThrow()).hasSize(2);
    }
  }
}
