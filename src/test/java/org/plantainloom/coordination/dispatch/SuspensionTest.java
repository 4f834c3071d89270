package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests for how long a worker that turns starts away gets no tasks. */
public class SuspensionTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);

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
}
