package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests for how long a worker that turns starts away gets no tasks. */
public class SuspensionTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);

  private static final String LASTING_ID = "00000000000000cc";
  private static final String UNKNOWN_ID = "00000000000000dd";
  private static final TaskKey LASTING = new TaskKey(LASTING_ID, 0, 0, 0);

  /** Into the fourth pause. */
  private static final long BEYOND_THIRD_PAUSE_MS = 2_000 + 4_000 + 8_000 + 500;

  /** Time without a run after which the platform counts a lasting task as lost. */
  private static final long TOLERATED_MS = 6_000 + 3_000;

  /** Beyond the first pause, and within the second one. */
  private static final long BEYOND_FIRST_PAUSE_MS = 2_500;

  /** Beyond the second pause as well. */
  private static final long BEYOND_SECOND_PAUSE_MS = 4_500;

  /** Returns a simulation of one worker that has turned four starts away at once. */
  private static DispatcherSimulation refused() {
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    simulation.taskDurationMs = 60_000;
    simulation.workers.get(0).startReply = CommandReply.UNHEALTHY;
    return simulation.submit(job(ID, "urgent", tasks(4, 1_000))).run(50);
  }

  /** Regression (SuspendCase): each of the refusals doubled the pause, to 16 s. */
  @Test
  public void should_pause_once_for_starts_that_were_refused_at_one_moment() {
    // given
    DispatcherSimulation simulation = refused();
    // when
    simulation.workers.get(0).startReply = CommandReply.OK;
    simulation.run(1_500);
    assertThat(simulation.startCount(FIRST)).isZero();
    simulation.run(BEYOND_FIRST_PAUSE_MS - 1_500);
    // then
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
  }

  @Test
  public void should_pause_for_longer_if_starts_are_refused_again() {
    // given
    DispatcherSimulation simulation = refused().run(BEYOND_FIRST_PAUSE_MS);
    // when
    simulation.workers.get(0).startReply = CommandReply.OK;
    simulation.run(BEYOND_FIRST_PAUSE_MS);
    // then
    assertThat(simulation.startCount(FIRST)).isZero();
    simulation.run(BEYOND_SECOND_PAUSE_MS - BEYOND_FIRST_PAUSE_MS);
    assertThat(simulation.startCount(FIRST)).isEqualTo(1);
  }

  /** Returns a simulation of one full worker, and of an empty one that is suspended for 16 s. */
  private static DispatcherSimulation fullBesideSuspended() {
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    SimulatedWorker suspended = simulation.workers.get(1);
    suspended.startReply = CommandReply.NO_ROOM;
    simulation.submit(job(LASTING_ID, "urgent", serving(1, 8_000, ""))).run(2_000);
    assertThat(simulation.workers.get(0).running).containsOnlyKeys(LASTING);
    suspended.startReply = CommandReply.UNHEALTHY;
    simulation.submit(job(ID, "urgent", tasks(1, 1_000))).run(BEYOND_THIRD_PAUSE_MS);
    simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
    suspended.startReply = CommandReply.OK;
    return simulation;
  }

  /** Regression (LOST): the room of a suspended worker counts as room for a lasting task. */
  @Test
  public void should_start_a_lasting_task_that_has_run_on_a_suspended_worker() {
    // given
    DispatcherSimulation simulation = fullBesideSuspended();
    // when
    simulation.workers.get(0).running.clear();
    simulation.workers.get(0).unreachable = true;
    simulation.run(TOLERATED_MS);
    // then
    assertThat(simulation.workers.get(1).running).containsOnlyKeys(LASTING);
  }

  @Test
  public void should_not_start_a_lasting_task_that_never_ran_on_a_suspended_worker() {
    // given
    DispatcherSimulation simulation = fullBesideSuspended();
    // when
    simulation.submit(job(ID + "b", "urgent", serving(1, 8_000, ""))).run(TOLERATED_MS);
    // then
    assertThat(simulation.workers.get(1).running).isEmpty();
  }

  @Test
  public void should_not_start_a_lasting_task_again_beside_a_run_of_unknown_size() {
    // given: the task is about to start on the suspended worker
    DispatcherSimulation simulation = fullBesideSuspended();
    SimulatedWorker suspended = simulation.workers.get(1);
    simulation.workers.get(0).running.clear();
    simulation.workers.get(0).unreachable = true;
    while (simulation.log.stream().noneMatch(line -> line.contains(" worker-lost "))) {
      simulation.run(10);
    }
    // when: the worker lists a run that is not known
    JobState unknown = new JobState(job(ID, "urgent", serving(1, 8_000, "")), simulation.nowMs);
    PhaseState phase = unknown.openOccurrences().iterator().next().phases.get(0);
    suspended.stopsLate = true;
    for (int i = 0; i < 20; i++) {
      suspended.running.put(
          new TaskKey(UNKNOWN_ID, 0, 0, 0), new SimulatedWorker.SimulatedRun(1, phase, 1));
      simulation.dispatcher.pollAnswered(
          suspended.registration,
          new PollReply.Answered(suspended.snapshot(simulation.nowMs)),
          simulation.nowMs,
          simulation.nowMs);
      simulation.run(100);
    }
    // then
    assertThat(suspended.running).doesNotContainKey(LASTING);
  }
}
