package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Jobs, silent workers and orders without an answer. */
public class DispatcherTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);

  /** The course of a job. */
  public static class Jobs {
    @Test
    public void should_run_phases_in_order_and_complete() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      // when
      session.submit(job(ID, "urgent", tasks(3, 1_000), tasks(2, 1_000, 0))).run(250);
      // then
      assertThat(session.startCount(new TaskKey(ID, 0, 1, 0))).isLessThanOrEqualTo(1);
      session.run(400);
      assertThat(session.status(ID)).as(session.log.toString()).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_not_start_a_phase_before_all_tasks_of_the_one_before_are_done() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(1, 2).run(100);
      // when: only two of three tasks fit at once
      session.submit(job(ID, "urgent", tasks(3, 1_000), tasks(1, 1_000, 0))).run(300);
      // then
      assertThat(session.startCount(new TaskKey(ID, 0, 1, 0))).isZero();
    }

    @Test
    public void
        should_show_a_job_with_running_tasks_as_active_and_as_completed_once_that_is_kept() {
      // given: soak seed 104 saw a running job as queued, as only ends changed what the store held
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.persisting = false;
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000)));
      // then
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.QUEUED);
      session.run(100);
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
      session.run(1_000);
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
      session.persisting = true;
      session.run(100);
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.COMPLETED);
    }

    @Test
    public void should_fail_a_job_whose_task_fails_as_often_as_the_queue_allows() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.workers.forEach(worker -> worker.failing = true);
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(3_000);
      // then
      assertThat(session.status(ID)).isEqualTo(JobStatus.FAILED);
      assertThat(session.startCount(FIRST)).isEqualTo(3);
    }

    @Test
    public void should_keep_starts_back_while_many_are_not_answered() {
      // given: hunt on hengtai, trouble-2 --seed 453973093244: 300 starts were handed to a cold
      // client at once; a job that was cancelled meanwhile was started 3 s later
      DispatcherSimulation session = new DispatcherSimulation(50, 32).run(100);
      session.submit(job(ID, "urgent", tasks(300, 1_000)));
      // when: nothing is answered yet
      List<DispatchCommand> first = session.dispatcher.decide(session.nowMs, session.nowMs);
      List<DispatchCommand> second = session.dispatcher.decide(session.nowMs, session.nowMs);
      // then
      assertThat(starts(first)).hasSize(TaskStarter.MAX_UNANSWERED_STARTS);
      assertThat(starts(second)).isEmpty();
      // and an answer makes room for one more
      session.dispatcher.startAnswered(starts(first).get(0), CommandReply.OK, session.nowMs);
      assertThat(starts(session.dispatcher.decide(session.nowMs, session.nowMs))).hasSize(1);
    }

    private static List<DispatchCommand.Start> starts(List<DispatchCommand> orders) {
      return orders.stream()
          .filter(order -> order instanceof DispatchCommand.Start)
          .map(order -> (DispatchCommand.Start) order)
          .toList();
    }

    @Test
    public void should_stop_what_runs_when_a_job_is_cancelled() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(1, 8).run(100);
      session.taskDurationMs = 60_000;
      session.submit(job(ID, "urgent", tasks(2, 1_000))).run(100);
      // when
      session.dispatcher.jobCancelled(ID, session.nowMs);
      session.run(100);
      // then
      assertThat(session.runningCount()).isZero();
      assertThat(session.status(ID)).isEqualTo(JobStatus.CANCELLED);
    }

    @Test
    public void should_never_reserve_more_than_a_worker_has() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(1, 2).run(100);
      session.taskDurationMs = 60_000;
      // when
      session.submit(job(ID, "urgent", tasks(5, 900))).run(500);
      // then
      assertThat(session.runningCount()).isEqualTo(2);
    }

    @Test
    public void should_acknowledge_an_end_only_once_it_is_kept() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(1, 8).run(100);
      session.persisting = false;
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(2_000);
      // then
      assertThat(session.workers.get(0).ended).hasSize(1);
      session.persisting = true;
      session.run(1_000);
      assertThat(session.workers.get(0).ended).isEmpty();
    }
  }

  /** Workers that do not answer. */
  public static class Silence {
    @Test
    public void should_run_tasks_elsewhere_only_once_the_lease_is_over() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.taskDurationMs = 60_000;
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      SimulatedWorker holder =
          session.workers.get(session.workers.get(0).running.isEmpty() ? 1 : 0);
      // when
      holder.unreachable = true;
      session.run(5_000);
      // then
      assertThat(session.startCount(FIRST)).isEqualTo(1);
      session.run(4_000);
      assertThat(session.startCount(FIRST)).isEqualTo(2);
      assertThat(session.runningCopies(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_restart_a_lasting_task_of_a_worker_that_stays_silent() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.submit(job(ID, "urgent", serving(2, 1_000, ""))).run(100);
      // when
      session.workers.get(0).unreachable = true;
      session.run(9_000);
      // then
      assertThat(session.workers.get(1).running).hasSize(2);
    }

    @Test
    public void should_run_tasks_elsewhere_at_once_when_a_draining_worker_has_left() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.taskDurationMs = 60_000;
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      SimulatedWorker holder =
          session.workers.get(session.workers.get(0).running.isEmpty() ? 1 : 0);
      session.dispatcher.workerRegistered(holder.drainingEntry(), session.nowMs);
      // when
      holder.unreachable = true;
      holder.running.clear();
      session.dispatcher.workerUnregistered(holder.entry.id(), session.nowMs);
      session.run(2_000);
      // then
      assertThat(session.startCount(FIRST)).isEqualTo(2);
    }

    @Test
    public void should_rule_a_start_without_answer_out_before_starting_elsewhere() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.taskDurationMs = 2_000;
      session.workers.forEach(worker -> worker.startAnswersLost = true);
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(30);
      session.workers.forEach(worker -> worker.startAnswersLost = false);
      session.run(4_000);
      // then
      assertThat(session.runningCopies(FIRST)).isLessThanOrEqualTo(1);
      assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_not_take_runs_for_stalled_while_this_process_was_held_up() {
      // given: hunt on tsetseg, quiet-1 --seed 397539557208: no looks for some seconds
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.taskDurationMs = 60_000;
      session.submit(job(ID, "urgent", tasks(4, 1_000), serving(1, 1_000, "")));
      session.run(3_000);
      // when: decisions are due before the looks that wait are read
      session.dispatcher.decide(session.nowMs + 3_000, session.nowMs + 3_000);
      // then
      assertThat(session.log.toString()).doesNotContain("run-stalled");
    }

    @Test
    public void should_not_leave_most_workers_alone_at_once() {
      // given: tasks stand still everywhere
      DispatcherSimulation session = new DispatcherSimulation(8, 8).run(100);
      session.workers.forEach(worker -> worker.stalled = true);
      session.submit(job(ID, "urgent", tasks(16, 1_000))).run(5_000);
      // when
      session.submit(job("00000000000000bb", "urgent", serving(8, 1_000, ""))).run(100);
      // then
      assertThat(session.runningCount()).isGreaterThanOrEqualTo(8);
      long used = session.workers.stream().filter(worker -> !worker.running.isEmpty()).count();
      assertThat(used).isGreaterThanOrEqualTo(6);
    }

    @Test
    public void should_pause_before_a_refused_start_is_tried_again() {
      // given: a worker that guards its room and has less than it says
      DispatcherSimulation session = new DispatcherSimulation(1, 8).run(100);
      session.workers.get(0).startReply = CommandReply.NO_ROOM;
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(1_000);
      // then
      assertThat(session.commands.stream().filter(o -> o instanceof DispatchCommand.Start).count())
          .isLessThanOrEqualTo(3);
      session.workers.get(0).startReply = CommandReply.OK;
      session.run(1_000);
      assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_move_tasks_off_a_worker_on_which_they_stand_still() {
      // given
      DispatcherSimulation session = new DispatcherSimulation(2, 8).run(100);
      session.workers.get(0).stalled = true;
      session.workers.get(1).stalled = true;
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      SimulatedWorker other = session.workers.get(session.workers.get(0).running.isEmpty() ? 0 : 1);
      other.stalled = false;
      // when
      session.run(6_000);
      // then
      assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }
  }
}
