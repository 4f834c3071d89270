package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests the course of jobs, unreachable workers and unanswered commands. */
public class DispatcherTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);

  /** Jobs that are removed from the store after their end. */
  public static class Retirement {
    private static final long LATER_MS = 1_000;

    private DispatcherSimulation completed() {
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      return simulation.submit(job(ID, "urgent", tasks(2, 1_000))).run(LATER_MS);
    }

    @Test
    public void should_not_run_a_job_again_whose_removal_failed_when_its_key_is_listed_again() {
      // given: the store does not confirm the removal
      DispatcherSimulation simulation = completed();
      assertThat(simulation.dispatcher.retireJobs(simulation.nowMs, 10)).containsExactly(ID);
      // when: after the history of the watch was lost, all keys are listed
      simulation.submit(job(ID, "urgent", tasks(2, 1_000))).run(LATER_MS);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_remove_a_job_again_until_the_store_has_confirmed_it() {
      // given
      DispatcherSimulation simulation = completed();
      List<String> first = simulation.dispatcher.retireJobs(simulation.nowMs, 10);
      // when
      List<String> second = simulation.dispatcher.retireJobs(simulation.nowMs, 10);
      simulation.dispatcher.jobsRemoved(second, simulation.nowMs);
      // then
      assertThat(second).isEqualTo(first).containsExactly(ID);
      assertThat(simulation.dispatcher.retireJobs(simulation.nowMs, 10)).isEmpty();
    }

    @Test
    public void should_not_run_a_job_again_that_was_listed_before_its_removal() {
      // given
      DispatcherSimulation simulation = completed();
      List<String> removed = simulation.dispatcher.retireJobs(simulation.nowMs, 10);
      simulation.dispatcher.jobsRemoved(removed, simulation.nowMs);
      // when: a list arrives that was read before
      simulation.submit(job(ID, "urgent", tasks(2, 1_000))).run(LATER_MS);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }
  }

  /** An owner that the store confirms, while it hears nothing from operators. */
  public static class OutdatedConfig {
    @Test
    public void should_start_nothing_by_a_configuration_that_may_have_been_replaced() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.dispatcher.configCurrent(false);
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(1_000);
      // then
      assertThat(simulation.startCount(FIRST)).isZero();
      // when
      simulation.dispatcher.configCurrent(true);
      simulation.run(1_000);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }
  }

  /** What the log tells of a task that starts again. */
  public static class EarlierRuns {
    @Test
    public void should_log_the_evidence_and_its_age_when_a_task_of_a_lost_worker_starts_again() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 20_000;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(500);
      SimulatedWorker lost =
          simulation.workers.stream().filter(w -> w.running.containsKey(FIRST)).findAny().get();
      // when
      lost.unreachable = true;
      simulation.run(10_000);
      // then
      assertThat(simulation.log)
          .anySatisfy(
              line ->
                  assertThat(line)
                      .contains("run-ordered " + FIRST + "#2")
                      .containsPattern(
                          "earlier=1@"
                              + lost.registration.id()
                              + " taken-for=LOST by=LEASE_EXPIRED evidenceAgeMs=\\d+"));
    }

    @Test
    public void should_log_how_a_new_owner_knows_that_nothing_of_a_task_is_left() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      // when
      simulation.startOwner(2);
      simulation.dispatcher.restoreJob(
          job(ID, "urgent", tasks(1, 1_000)), JobProgress.NONE, 0, simulation.nowMs);
      simulation.run(500);
      // then
      assertThat(simulation.log)
          .anySatisfy(
              line ->
                  assertThat(line)
                      .contains("run-ordered " + FIRST + "#100001")
                      .containsPattern("earlier=unknown by=ALL_ANSWERED evidenceAgeMs=\\d+"));
    }

    @Test
    public void should_log_nothing_of_the_kind_for_the_first_run() {
      // when
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(500);
      // then
      assertThat(simulation.log)
          .filteredOn(line -> line.contains("run-ordered"))
          .hasSize(1)
          .noneMatch(line -> line.contains("earlier="));
    }
  }

  /** The course of a job. */
  public static class Jobs {
    @Test
    public void should_run_phases_in_order_and_complete() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      // when
      simulation.submit(job(ID, "urgent", tasks(3, 1_000), tasks(2, 1_000, 0))).run(250);
      // then
      assertThat(simulation.startCount(new TaskKey(ID, 0, 1, 0))).isLessThanOrEqualTo(1);
      simulation.run(400);
      assertThat(simulation.status(ID))
          .as(simulation.log.toString())
          .isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_not_start_a_phase_before_all_tasks_of_the_one_before_are_done() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 2).run(100);
      // when: only two of three tasks fit at once
      simulation.submit(job(ID, "urgent", tasks(3, 1_000), tasks(1, 1_000, 0))).run(300);
      // then
      assertThat(simulation.startCount(new TaskKey(ID, 0, 1, 0))).isZero();
    }

    @Test
    public void should_show_a_job_with_running_tasks_as_active_and_as_completed_once_persisted() {
      // given: regression (soak test, seed 104): a running job was reported as queued, because only
      // ended runs changed the stored status
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.persisting = false;
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000)));
      // then
      assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.QUEUED);
      simulation.run(100);
      assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
      simulation.run(1_000);
      assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
      simulation.persisting = true;
      simulation.run(100);
      assertThat(simulation.dispatcher.visibleStatus(ID)).hasValue(JobStatus.COMPLETED);
    }

    @Test
    public void should_fail_a_job_whose_task_fails_as_often_as_the_queue_allows() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.workers.forEach(worker -> worker.failing = true);
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(3_000);
      // then
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.FAILED);
      assertThat(simulation.startCount(FIRST)).isEqualTo(3);
    }

    @Test
    public void should_limit_the_number_of_unanswered_starts() {
      // given: regression (hengtai, trouble-2 --seed 453973093244): 300 starts were passed at once
      // to a client without connections, and a job cancelled in the meantime started 3 s later
      DispatcherSimulation simulation = new DispatcherSimulation(50, 32).run(100);
      simulation.submit(job(ID, "urgent", tasks(300, 1_000)));
      // when: no start has been answered
      List<DispatchCommand> first =
          simulation.dispatcher.decide(simulation.nowMs, simulation.nowMs);
      List<DispatchCommand> second =
          simulation.dispatcher.decide(simulation.nowMs, simulation.nowMs);
      // then
      assertThat(starts(first)).hasSize(TaskStarter.MAX_UNANSWERED_STARTS);
      assertThat(starts(second)).isEmpty();
      // and an answer allows one more start
      simulation.dispatcher.startAnswered(starts(first).get(0), CommandReply.OK, simulation.nowMs);
      assertThat(starts(simulation.dispatcher.decide(simulation.nowMs, simulation.nowMs)))
          .hasSize(1);
    }

    private static List<DispatchCommand.Start> starts(List<DispatchCommand> commands) {
      return commands.stream()
          .filter(command -> command instanceof DispatchCommand.Start)
          .map(command -> (DispatchCommand.Start) command)
          .toList();
    }

    @Test
    public void should_stop_the_runs_of_a_cancelled_job() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
      simulation.taskDurationMs = 60_000;
      simulation.submit(job(ID, "urgent", tasks(2, 1_000))).run(100);
      // when
      simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
      simulation.run(100);
      // then
      assertThat(simulation.runningCount()).isZero();
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.CANCELLED);
    }

    @Test
    public void should_never_reserve_more_than_a_worker_has() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 2).run(100);
      simulation.taskDurationMs = 60_000;
      // when
      simulation.submit(job(ID, "urgent", tasks(5, 900))).run(500);
      // then
      assertThat(simulation.runningCount()).isEqualTo(2);
    }

    @Test
    public void should_acknowledge_an_ended_run_only_once_it_is_persisted() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
      simulation.persisting = false;
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(2_000);
      // then
      assertThat(simulation.workers.get(0).ended).hasSize(1);
      simulation.persisting = true;
      simulation.run(1_000);
      assertThat(simulation.workers.get(0).ended).isEmpty();
    }
  }

  /** Workers that do not answer, refuse tasks or do not execute them. */
  public static class UnreachableWorkers {
    @Test
    public void should_run_tasks_elsewhere_only_after_the_lease_has_expired() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 60_000;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      SimulatedWorker holder =
          simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 1 : 0);
      // when
      holder.unreachable = true;
      simulation.run(5_000);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
      simulation.run(4_000);
      assertThat(simulation.startCount(FIRST)).isEqualTo(2);
      assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_restart_a_lasting_task_of_a_worker_that_stays_unreachable() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.submit(job(ID, "urgent", serving(2, 1_000, ""))).run(100);
      // when
      simulation.workers.get(0).unreachable = true;
      simulation.run(9_000);
      // then
      assertThat(simulation.workers.get(1).running).hasSize(2);
    }

    /** Regression (review/4): its registration had expired, as it did not reach the store. */
    @Test
    public void should_wait_for_the_lease_when_a_draining_worker_does_not_register_again() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 60_000;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      SimulatedWorker holder =
          simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 1 : 0);
      simulation.dispatcher.workerRegistered(holder.drainingRegistration(), simulation.nowMs);
      // when: it is cut off, and its task runs on
      holder.unreachable = true;
      simulation.dispatcher.workerUnregistered(holder.registration.id());
      simulation.run(5_500);
      // then
      assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
      // and it runs elsewhere within the time that the platform tolerates
      simulation.run(3_500);
      assertThat(simulation.startCount(FIRST)).isEqualTo(2);
      assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_wait_for_the_lease_when_a_draining_worker_lives_on_without_registration() {
      // given: the registration expired during an outage of the store, and the worker answers
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 60_000;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      SimulatedWorker holder =
          simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 1 : 0);
      simulation.dispatcher.workerRegistered(holder.drainingRegistration(), simulation.nowMs);
      simulation.dispatcher.workerUnregistered(holder.registration.id());
      simulation.run(2_500);
      // when: it does not answer for a while, but its task runs on
      holder.unreachable = true;
      simulation.run(2_500);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_stop_an_unanswered_start_before_starting_elsewhere() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 2_000;
      simulation.workers.forEach(worker -> worker.startAnswersLost = true);
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(30);
      simulation.workers.forEach(worker -> worker.startAnswersLost = false);
      simulation.run(4_000);
      // then
      assertThat(simulation.runningCopies(FIRST)).isLessThanOrEqualTo(1);
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_not_treat_runs_as_stalled_after_a_pause_of_this_process() {
      // given: regression (tsetseg, quiet-1 --seed 397539557208): after a pause of some seconds
      // without polls, healthy runs were stopped as stalled
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 60_000;
      simulation.submit(job(ID, "urgent", tasks(4, 1_000), serving(1, 1_000, "")));
      simulation.run(3_000);
      // when: decisions are made before the waiting answers to polls are read
      simulation.dispatcher.decide(simulation.nowMs + 3_000, simulation.nowMs + 3_000);
      // then
      assertThat(simulation.log.toString()).doesNotContain("run-stalled");
    }

    @Test
    public void should_not_suspend_most_workers_at_once() {
      // given: tasks stall on all workers
      DispatcherSimulation simulation = new DispatcherSimulation(8, 8).run(100);
      simulation.workers.forEach(worker -> worker.stalled = true);
      simulation.submit(job(ID, "urgent", tasks(16, 1_000))).run(5_000);
      // when
      simulation.submit(job("00000000000000bb", "urgent", serving(8, 1_000, ""))).run(100);
      // then
      assertThat(simulation.runningCount()).isGreaterThanOrEqualTo(8);
      long used = simulation.workers.stream().filter(worker -> !worker.running.isEmpty()).count();
      assertThat(used).isGreaterThanOrEqualTo(6);
    }

    @Test
    public void should_delay_the_retry_of_a_refused_start() {
      // given: a worker that enforces its capacity and has less than it registered
      DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
      simulation.workers.get(0).startReply = CommandReply.NO_ROOM;
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(1_000);
      // then
      assertThat(
              simulation.commands.stream().filter(o -> o instanceof DispatchCommand.Start).count())
          .isLessThanOrEqualTo(3);
      simulation.workers.get(0).startReply = CommandReply.OK;
      simulation.run(1_000);
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_move_stalled_tasks_to_another_worker() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.workers.get(0).stalled = true;
      simulation.workers.get(1).stalled = true;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      SimulatedWorker other =
          simulation.workers.get(simulation.workers.get(0).running.isEmpty() ? 0 : 1);
      other.stalled = false;
      // when
      simulation.run(6_000);
      // then
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }
  }
}
