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

/** Tests workers that start again under their id before this is noticed. */
public class RestartedWorkerTest {
  private static final String ID = "00000000000000aa";
  private static final String OTHER_ID = "00000000000000bb";
  private static final String THIRD_ID = "00000000000000cc";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);

  /** Longer than a poll that is sent to the former life may take. */
  private static final long BEYOND_POLL_MS = 3_000;

  /** Returns a simulation of one worker whose ends are acknowledged up to 20. */
  private static DispatcherSimulation withAcknowledgedEnds() {
    DispatcherSimulation simulation = new DispatcherSimulation(1, 32).run(100);
    simulation.submit(job(OTHER_ID, "urgent", tasks(20, 1_000))).run(1_000);
    assertThat(lastPoll(simulation).acknowledged()).isEqualTo(20);
    return simulation;
  }

  private static SimulatedWorker worker(DispatcherSimulation simulation) {
    return simulation.workers.get(0);
  }

  private static DispatcherSimulation restart(DispatcherSimulation simulation) {
    worker(simulation).restart(simulation.nowMs);
    return simulation;
  }

  private static DispatcherSimulation register(DispatcherSimulation simulation) {
    simulation.dispatcher.workerRegistered(worker(simulation).registration, simulation.nowMs);
    return simulation;
  }

  private static List<DispatchCommand.Poll> polls(DispatcherSimulation simulation) {
    return simulation.commands.stream()
        .filter(command -> command instanceof DispatchCommand.Poll)
        .map(command -> (DispatchCommand.Poll) command)
        .toList();
  }

  private static DispatchCommand.Poll lastPoll(DispatcherSimulation simulation) {
    List<DispatchCommand.Poll> polls = polls(simulation);
    return polls.get(polls.size() - 1);
  }

  /** Numbers of ended runs, which begin anew with each life. */
  public static class Acknowledgements {
    /** Regression (review/2): their ends were acknowledged unseen by numbers of the former life. */
    @Test
    public void should_not_run_tasks_again_that_ended_before_the_restart_was_noticed() {
      // given
      DispatcherSimulation simulation = withAcknowledgedEnds();
      // when: tasks start on the new life while a poll of the former one waits for its answer
      restart(simulation).submit(job(ID, "urgent", tasks(10, 1_000))).run(500);
      assertThat(worker(simulation).ended).hasSize(10);
      register(simulation).run(BEYOND_POLL_MS);
      // then
      assertThat(worker(simulation).repeated).as(simulation.log.toString()).isEmpty();
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_acknowledge_nothing_after_a_poll_without_answer_until_one_is_answered() {
      // given
      DispatcherSimulation simulation = withAcknowledgedEnds();
      // when
      worker(simulation).unreachable = true;
      simulation.run(BEYOND_POLL_MS);
      // then
      assertThat(lastPoll(simulation).acknowledged()).isZero();
      // and the same life has its numbers back
      worker(simulation).unreachable = false;
      simulation.run(BEYOND_POLL_MS);
      assertThat(lastPoll(simulation).acknowledged()).isEqualTo(20);
    }

    @Test
    public void should_acknowledge_nothing_after_a_start_without_answer_until_a_poll_is_answered() {
      // given: no poll is in flight, as an end waits to be stored
      DispatcherSimulation simulation = withAcknowledgedEnds();
      simulation.persisting = false;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(230);
      int pollsBefore = polls(simulation).size();
      // when
      worker(simulation).startReply = CommandReply.UNKNOWN;
      simulation.submit(job(THIRD_ID, "urgent", tasks(1, 1_000))).run(20);
      worker(simulation).startReply = CommandReply.OK;
      simulation.run(1_500);
      // then
      List<DispatchCommand.Poll> polls = polls(simulation);
      assertThat(polls.get(pollsBefore).acknowledged()).isZero();
      assertThat(polls.get(pollsBefore + 1).acknowledged()).isEqualTo(20);
    }

    @Test
    public void should_keep_the_effect_of_ends_that_the_former_life_listed() {
      // given: the task has ended, and its progress is not stored yet
      DispatcherSimulation simulation = new DispatcherSimulation(1, 32).run(100);
      simulation.persisting = false;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(1_000);
      // when
      register(restart(simulation)).run(BEYOND_POLL_MS);
      simulation.persisting = true;
      simulation.run(1_000);
      // then
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }
  }

  /** Which runs are over with the former life. */
  public static class Runs {
    @Test
    public void should_keep_a_run_that_the_new_life_started_before_the_restart_was_noticed() {
      // given
      DispatcherSimulation simulation = withAcknowledgedEnds();
      simulation.taskDurationMs = 10_000;
      // when
      restart(simulation).submit(job(ID, "urgent", tasks(4, 1_000))).run(500);
      register(simulation).run(BEYOND_POLL_MS);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
      assertThat(simulation.runningCount()).isEqualTo(4);
    }

    @Test
    public void should_start_what_the_former_life_has_listed_again() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 32).run(100);
      simulation.submit(job(ID, "urgent", serving(1, 1_000, ""))).run(BEYOND_POLL_MS);
      // when
      register(restart(simulation)).run(BEYOND_POLL_MS);
      // then
      assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
      assertThat(simulation.log)
          .anySatisfy(line -> assertThat(line).contains("run-ordered", "by=WORKER_RESTARTED"));
    }

    @Test
    public void should_start_what_no_life_has_listed_again_once_the_new_one_lacks_it() {
      // given: the start is answered, and no poll has listed the run
      DispatcherSimulation simulation = new DispatcherSimulation(1, 32).run(500);
      simulation.submit(job(ID, "urgent", serving(1, 1_000, ""))).run(50);
      assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
      // when
      register(restart(simulation)).run(5_000);
      // then
      assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
      assertThat(simulation.log)
          .anySatisfy(line -> assertThat(line).contains("run-ordered", "by=NOT_LISTED"));
    }

    @Test
    public void should_repeat_a_stop_that_only_the_former_life_has_confirmed() {
      // given: a start without answer, which may still be carried out, and its confirmed stop
      DispatcherSimulation simulation = new DispatcherSimulation(1, 32).run(500);
      worker(simulation).startReply = CommandReply.UNKNOWN;
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(50);
      int stopsBefore = stops(simulation);
      assertThat(stopsBefore).isEqualTo(1);
      // when
      register(restart(simulation)).run(BEYOND_POLL_MS);
      // then
      assertThat(stops(simulation)).isGreaterThan(stopsBefore);
    }

    private static int stops(DispatcherSimulation simulation) {
      return (int)
          simulation.commands.stream()
              .filter(
                  command ->
                      command instanceof DispatchCommand.Stop stop && stop.task().equals(FIRST))
              .count();
    }
  }

  /** Registrations and answers of different lives. */
  public static class Registrations {
    /** Regression (KindCase): the new life was of another kind than the registration said. */
    @Test
    public void should_start_nothing_while_the_registration_is_of_the_former_life() {
      // given
      DispatcherSimulation simulation = withAcknowledgedEnds();
      restart(simulation).run(BEYOND_POLL_MS);
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(1_000);
      // then
      assertThat(simulation.startCount(FIRST)).isZero();
      register(simulation).run(1_000);
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_start_nothing_while_only_the_registration_is_of_the_new_life() {
      // given: the poll of the former life waits for its answer
      DispatcherSimulation simulation = withAcknowledgedEnds();
      register(restart(simulation));
      // when
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(100);
      // then
      assertThat(simulation.startCount(FIRST)).isZero();
      simulation.run(BEYOND_POLL_MS);
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }

    @Test
    public void should_use_a_worker_whose_first_answer_is_of_a_later_life_once_it_is_registered() {
      // given: the registration that the owner reads is older than the first answer
      DispatcherSimulation simulation = new DispatcherSimulation(1, 32);
      restart(simulation).run(100);
      simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(500);
      assertThat(simulation.startCount(FIRST)).isZero();
      // when
      register(simulation).run(1_000);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
    }
  }

  /** Leases that count by the clock of the life that got them. */
  public static class Leases {
    private static final long PLATFORM_LEASE_MS = 10_000;

    @Test
    public void should_not_renew_a_lease_by_the_clock_of_a_life_that_may_be_over() {
      // given
      DispatcherSimulation simulation = withAcknowledgedEnds();
      // when
      register(restart(simulation));
      int pollsBefore = polls(simulation).size();
      simulation.run(BEYOND_POLL_MS);
      // then
      assertThat(polls(simulation).get(pollsBefore).leaseUntilMs()).isEmpty();
      assertThat(lastPoll(simulation).leaseUntilMs().orElseThrow())
          .isLessThan(BEYOND_POLL_MS + DispatcherSimulation.MAX_LEASE_MS);
    }

    @Test
    public void should_wait_for_the_longest_lease_if_a_start_named_a_time_of_the_former_clock() {
      // given: the worker shortens that time to the longest lease of the platform
      DispatcherSimulation simulation = new DispatcherSimulation(1, 32, PLATFORM_LEASE_MS).run(500);
      // when
      restart(simulation).run(BEYOND_POLL_MS);
      // then
      assertThat(simulation.dispatcher.workers().iterator().next().leaseExpiryMs)
          .isGreaterThan(simulation.nowMs - BEYOND_POLL_MS + PLATFORM_LEASE_MS);
    }
  }
}
