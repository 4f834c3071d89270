package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatchSession.job;
import static org.plantainloom.coordination.dispatch.DispatchSession.serving;
import static org.plantainloom.coordination.dispatch.DispatchSession.tasks;

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
      DispatchSession session = new DispatchSession(2, 8).run(100);
      // when
      session.submit(job(ID, "urgent", tasks(3, 1_000), tasks(2, 1_000, 0))).run(250);
      // then
      assertThat(session.startsOf(new TaskKey(ID, 0, 1, 0))).isLessThanOrEqualTo(1);
      session.run(400);
      assertThat(session.status(ID)).as(session.log.toString()).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_not_start_a_phase_before_all_tasks_of_the_one_before_are_done() {
      // given
      DispatchSession session = new DispatchSession(1, 2).run(100);
      // when: only two of three tasks fit at once
      session.submit(job(ID, "urgent", tasks(3, 1_000), tasks(1, 1_000, 0))).run(300);
      // then
      assertThat(session.startsOf(new TaskKey(ID, 0, 1, 0))).isZero();
    }

    @Test
    public void
        should_show_a_job_with_running_tasks_as_active_and_as_completed_once_that_is_kept() {
      // given: soak seed 104 saw a running job as queued, as only ends changed what the store held
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.keeping = false;
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000)));
      // then
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.QUEUED);
      session.run(100);
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
      session.run(1_000);
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
      session.keeping = true;
      session.run(100);
      assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.COMPLETED);
    }

    @Test
    public void should_fail_a_job_whose_task_fails_as_often_as_the_queue_allows() {
      // given
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.workers.forEach(worker -> worker.failing = true);
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(3_000);
      // then
      assertThat(session.status(ID)).isEqualTo(JobStatus.FAILED);
      assertThat(session.startsOf(FIRST)).isEqualTo(3);
    }

    @Test
    public void should_keep_starts_back_while_many_are_not_answered() {
      // given: hunt on hengtai, trouble-2 --seed 453973093244: 300 starts were handed to a cold
      // client at once; a job that was cancelled meanwhile was started 3 s later
      DispatchSession session = new DispatchSession(50, 32).run(100);
      session.submit(job(ID, "urgent", tasks(300, 1_000)));
      // when: nothing is answered yet
      List<DispatchCommand> first = session.dispatcher.decide(session.nowMs, session.nowMs);
      List<DispatchCommand> second = session.dispatcher.decide(session.nowMs, session.nowMs);
      // then
      assertThat(starts(first)).hasSize(Starter.MOST_UNANSWERED);
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
      DispatchSession session = new DispatchSession(1, 8).run(100);
      session.workMs = 60_000;
      session.submit(job(ID, "urgent", tasks(2, 1_000))).run(100);
      // when
      session.dispatcher.jobCancelled(ID, session.nowMs);
      session.run(100);
      // then
      assertThat(session.running()).isZero();
      assertThat(session.status(ID)).isEqualTo(JobStatus.CANCELLED);
    }

    @Test
    public void should_never_reserve_more_than_a_worker_has() {
      // given
      DispatchSession session = new DispatchSession(1, 2).run(100);
      session.workMs = 60_000;
      // when
      session.submit(job(ID, "urgent", tasks(5, 900))).run(500);
      // then
      assertThat(session.running()).isEqualTo(2);
    }

    @Test
    public void should_acknowledge_an_end_only_once_it_is_kept() {
      // given
      DispatchSession session = new DispatchSession(1, 8).run(100);
      session.keeping = false;
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(2_000);
      // then
      assertThat(session.workers.get(0).ended).hasSize(1);
      session.keeping = true;
      session.run(1_000);
      assertThat(session.workers.get(0).ended).isEmpty();
    }
  }

  /** Workers that do not answer. */
  public static class Silence {
    @Test
    public void should_run_tasks_elsewhere_only_once_the_lease_is_over() {
      // given
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.workMs = 60_000;
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      ModelWorker holder = session.workers.get(session.workers.get(0).running.isEmpty() ? 1 : 0);
      // when
      holder.silent = true;
      session.run(5_000);
      // then
      assertThat(session.startsOf(FIRST)).isEqualTo(1);
      session.run(4_000);
      assertThat(session.startsOf(FIRST)).isEqualTo(2);
      assertThat(session.copiesOf(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_restart_a_lasting_task_of_a_worker_that_stays_silent() {
      // given
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.submit(job(ID, "urgent", serving(2, 1_000, ""))).run(100);
      // when
      session.workers.get(0).silent = true;
      session.run(9_000);
      // then
      assertThat(session.workers.get(1).running).hasSize(2);
    }

    @Test
    public void should_run_tasks_elsewhere_at_once_when_a_draining_worker_has_left() {
      // given
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.workMs = 60_000;
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      ModelWorker holder = session.workers.get(session.workers.get(0).running.isEmpty() ? 1 : 0);
      session.dispatcher.workerRegistered(holder.draining(), session.nowMs);
      // when
      holder.silent = true;
      holder.running.clear();
      session.dispatcher.workerUnregistered(holder.entry.id(), session.nowMs);
      session.run(2_000);
      // then
      assertThat(session.startsOf(FIRST)).isEqualTo(2);
    }

    @Test
    public void should_rule_a_start_without_answer_out_before_starting_elsewhere() {
      // given
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.workMs = 2_000;
      session.workers.forEach(worker -> worker.mute = true);
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(30);
      session.workers.forEach(worker -> worker.mute = false);
      session.run(4_000);
      // then
      assertThat(session.copiesOf(FIRST)).isLessThanOrEqualTo(1);
      assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_not_take_runs_for_stalled_while_this_process_was_held_up() {
      // given: hunt on tsetseg, quiet-1 --seed 397539557208: no looks for some seconds
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.workMs = 60_000;
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
      DispatchSession session = new DispatchSession(8, 8).run(100);
      session.workers.forEach(worker -> worker.standstill = true);
      session.submit(job(ID, "urgent", tasks(16, 1_000))).run(5_000);
      // when
      session.submit(job("00000000000000bb", "urgent", serving(8, 1_000, ""))).run(100);
      // then
      assertThat(session.running()).isGreaterThanOrEqualTo(8);
      long used = session.workers.stream().filter(worker -> !worker.running.isEmpty()).count();
      assertThat(used).isGreaterThanOrEqualTo(6);
    }

    @Test
    public void should_pause_before_a_refused_start_is_tried_again() {
      // given: a worker that guards its room and has less than it says
      DispatchSession session = new DispatchSession(1, 8).run(100);
      session.workers.get(0).refusal = CommandReply.NO_ROOM;
      // when
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(1_000);
      // then
      assertThat(session.orders.stream().filter(o -> o instanceof DispatchCommand.Start).count())
          .isLessThanOrEqualTo(3);
      session.workers.get(0).refusal = CommandReply.OK;
      session.run(1_000);
      assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_move_tasks_off_a_worker_on_which_they_stand_still() {
      // given
      DispatchSession session = new DispatchSession(2, 8).run(100);
      session.workers.get(0).standstill = true;
      session.workers.get(1).standstill = true;
      session.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      ModelWorker other = session.workers.get(session.workers.get(0).running.isEmpty() ? 0 : 1);
      other.standstill = false;
      // when
      session.run(6_000);
      // then
      assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }
  }
}
