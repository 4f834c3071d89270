package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatchSession.job;
import static org.plantainloom.coordination.dispatch.DispatchSession.serving;
import static org.plantainloom.coordination.dispatch.DispatchSession.tasks;

import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** A new owner after a kill of the former one. */
public class TakeoverTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);

  private static DispatchSession takenOver(DispatchSession session, JobSpec job) {
    JobProgress progress = session.kept.getOrDefault(job.id(), JobProgress.NONE);
    session.begin(2);
    session.dispatcher.restoreJob(job, progress, 0, session.nowMs);
    session.dispatcher.jobsRestored();
    return session;
  }

  @Test
  public void should_adopt_what_runs_and_start_nothing_twice() {
    // given
    DispatchSession session = new DispatchSession(3, 8).run(100);
    session.workMs = 2_000;
    JobSpec job = job(ID, "urgent", tasks(6, 1_000));
    session.submit(job).run(500);
    // when
    takenOver(session, job).run(3_000);
    // then
    for (int i = 0; i < 6; i++) {
      assertThat(session.startsOf(new TaskKey(ID, 0, 0, i))).isEqualTo(1);
    }
    assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
  }

  @Test
  public void should_show_an_adopted_job_as_active() {
    // given: soak seed 103 saw a job as queued whose tasks the new owner had adopted
    DispatchSession session = new DispatchSession(2, 8).run(100);
    JobSpec job = job(ID, "urgent", serving(2, 1_000, ""));
    session.submit(job).run(500);
    // when
    takenOver(session, job).run(500);
    // then
    assertThat(session.dispatcher.visibleStatus(ID)).hasValue(JobStatus.ACTIVE);
  }

  @Test
  public void should_adopt_a_run_that_is_listed_beside_an_older_end_of_its_task() {
    // given: a run was stopped and started again, and neither was acknowledged
    DispatchSession session = new DispatchSession(2, 8).run(100);
    session.workMs = 5_000;
    session.keeping = false;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    session.submit(job).run(100);
    ModelWorker worker = session.workers.get(session.workers.get(0).running.isEmpty() ? 1 : 0);
    ModelWorker.ModelRun run = worker.running.get(FIRST);
    worker.end(FIRST, RunOutcome.STOPPED);
    worker.running.put(FIRST, new ModelWorker.ModelRun(run.number + 1, run.phase, 5_000));
    // when
    takenOver(session, job).run(1_000);
    // then
    assertThat(session.copiesOf(FIRST)).isEqualTo(1);
    assertThat(session.startsOf(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_not_start_inherited_tasks_while_a_worker_has_not_answered() {
    // given
    DispatchSession session = new DispatchSession(2, 8).run(100);
    session.workMs = 60_000;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    session.submit(job).run(100);
    ModelWorker holder = session.workers.get(session.workers.get(0).running.isEmpty() ? 1 : 0);
    holder.silent = true;
    // when
    takenOver(session, job).run(5_000);
    // then: the lease of the silent worker may still hold
    assertThat(session.startsOf(FIRST)).isEqualTo(1);
    // and the task runs again once it cannot
    session.run(4_000);
    assertThat(session.startsOf(FIRST)).isEqualTo(2);
    assertThat(session.copiesOf(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_hold_the_room_of_a_run_that_is_being_stopped() {
    // given: a cancelled job whose task the worker does not stop at once
    DispatchSession session = new DispatchSession(1, 8).run(100);
    session.workMs = 60_000;
    JobSpec job = job(ID, "urgent", tasks(1, 8_000));
    session.submit(job).run(100);
    takenOver(session, job);
    session.dispatcher.jobCancelled(ID, session.nowMs);
    // when
    session.submit(job("00000000000000bb", "urgent", tasks(1, 8_000)));
    session.run(2_000);
    // then
    assertThat(session.log.toString()).contains("run-unwanted");
    assertThat(session.running()).isEqualTo(1);
  }

  @Test
  public void should_not_wait_for_a_draining_worker_that_is_gone() {
    // given: the fleet record names a worker that was draining and is not registered any more
    DispatchSession session = new DispatchSession(2, 8).run(100);
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    ModelWorker gone = session.workers.get(0);
    gone.silent = true;
    takenOver(session, job);
    session.dispatcher.workerRegistered(gone.draining(), session.nowMs);
    session.dispatcher.workerUnregistered(gone.entry.id(), session.nowMs);
    // when
    session.run(2_000);
    // then
    assertThat(session.startsOf(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_record_that_a_worker_is_draining() {
    // given
    DispatchSession session = new DispatchSession(1, 8).run(100);
    assertThat(session.dispatcher.unpersistedFleet()).isEmpty();
    // when
    session.dispatcher.workerRegistered(session.workers.get(0).draining(), session.nowMs);
    // then
    assertThat(session.dispatcher.unpersistedFleet().get().get(0).entry().draining()).isTrue();
  }

  @Test
  public void should_record_that_a_worker_is_draining_also_if_a_former_owner_listed_it() {
    // given: hengtai scale-1, a second owner; the next one waited 6 s for a worker that had left
    DispatchSession session = new DispatchSession(1, 8).run(100).begin(2).run(100);
    // when
    session.dispatcher.workerRegistered(session.workers.get(0).draining(), session.nowMs);
    // then
    assertThat(session.dispatcher.unpersistedFleet().get().get(0).entry().draining()).isTrue();
  }

  @Test
  public void should_start_what_a_worker_known_as_silent_cannot_run() {
    // given: the former owner listed what the silent worker may run before it was killed
    DispatchSession session = new DispatchSession(3, 8).run(100);
    session.workMs = 60_000;
    JobSpec held = job(ID, "urgent", tasks(1, 1_000));
    session.submit(held).run(100);
    session.workers.stream()
        .filter(worker -> !worker.running.isEmpty())
        .forEach(worker -> worker.silent = true);
    session.run(3_000);
    // when
    JobSpec waiting = job("00000000000000bb", "urgent", tasks(1, 1_000));
    takenOver(session, waiting);
    session.dispatcher.restoreJob(held, JobProgress.NONE, 0, session.nowMs);
    session.dispatcher.jobsRestored();
    session.run(500);
    // then
    assertThat(session.startsOf(new TaskKey("00000000000000bb", 0, 0, 0))).isEqualTo(1);
    assertThat(session.startsOf(FIRST)).isEqualTo(1);
    // and what it may run starts again once its lease cannot hold
    session.run(9_000);
    assertThat(session.startsOf(FIRST)).isEqualTo(2);
    assertThat(session.copiesOf(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_fail_a_job_of_which_the_last_failure_is_read_before_the_queues_are() {
    // given: hengtai scale-1, the owner was killed between the third failure and keeping it
    DispatchSession session = new DispatchSession(1, 8).run(100);
    session.workers.get(0).failing = true;
    session.keeping = false;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    session.submit(job).run(3_000);
    assertThat(session.startsOf(FIRST)).isEqualTo(3);
    // when
    session.beginWithoutConfig(2);
    session.dispatcher.restoreJob(job, JobProgress.NONE, 0, session.nowMs);
    session.dispatcher.jobsRestored();
    session.run(500);
    session.keeping = true;
    session.dispatcher.configure(DispatchSession.config(), session.nowMs);
    session.run(2_000);
    // then
    assertThat(session.startsOf(FIRST)).isEqualTo(3);
    assertThat(session.status(ID)).isEqualTo(JobStatus.FAILED);
  }

  @Test
  public void should_renew_leases_before_the_jobs_are_known() {
    // given
    DispatchSession session = new DispatchSession(2, 8).run(100).begin(2);
    // when
    var orders = session.dispatcher.renewInheritedLeases(session.nowMs);
    // then: from the clock with which the workers registered
    assertThat(orders)
        .hasSize(2)
        .allSatisfy(
            order ->
                assertThat(((DispatchCommand.Poll) order).leaseUntilMs())
                    .hasValue(ModelWorker.REGISTERED_CLOCK_MS + DispatchSession.MAX_LEASE_MS));
  }

  @Test
  public void should_number_runs_above_those_of_former_owners() {
    // given
    DispatchSession session = new DispatchSession(1, 8).run(100).begin(3).run(100);
    // when
    session.submit(job(ID, "urgent", tasks(1, 1_000))).run(50);
    // then
    assertThat(session.workers.get(0).running.get(FIRST).number).isGreaterThan(200_000);
  }

  @Test
  public void should_not_count_a_failure_twice() {
    // given: a failed run is kept but its acknowledgement did not reach the worker
    DispatchSession session = new DispatchSession(1, 8).run(100);
    session.workers.get(0).failing = true;
    JobSpec job = job(ID, "urgent", tasks(1, 1_000));
    session.submit(job).run(230);
    assertThat(session.kept.get(ID).failures().get(FIRST.toString())).hasSize(1);
    session.workers.get(0).failing = false;
    // when
    takenOver(session, job).run(2_000);
    // then
    assertThat(session.status(ID)).isEqualTo(JobStatus.COMPLETED);
  }
}
