package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests for how long an owner starts tasks without news of the jobs. */
public class JobsFreshnessTest {
  private static final String ID = "00000000000000aa";
  private static final TaskKey FIRST = new TaskKey(ID, 0, 0, 0);
  private static final TaskKey SECOND = new TaskKey(ID, 0, 1, 0);

  /** After this time from the acknowledgement of a cancellation, no task of the job may start. */
  private static final long CANCEL_MS = 3_000;

  /** The bound, which docs/design/0009 works out. */
  public static class Bounds {
    /** A worker may carry a start out until the owner gives up waiting for its answer. */
    private static final long START_MS = 600;

    private static final long NOW_MS = 50_000;
    private static final long WALL_MS = 1_700_000_000_000L;

    private static JobsFreshness known() {
      JobsFreshness freshness = new JobsFreshness((event, subject, detail) -> {});
      freshness.confirm(NOW_MS, WALL_MS);
      return freshness;
    }

    @Test
    public void should_not_be_fresh_before_the_jobs_were_read() {
      assertThat(new JobsFreshness((event, subject, detail) -> {}).mayStart(0, 0)).isFalse();
    }

    @Test
    public void should_end_in_time_for_a_start_to_reach_its_worker_on_any_clock() {
      long ageMs = ClockDrift.shortestMs(CANCEL_MS - START_MS);
      assertThat(known().mayStart(NOW_MS + ageMs, WALL_MS + ageMs)).isFalse();
    }

    @Test
    public void should_end_although_the_monotonic_clock_stood_still_while_the_vm_was_suspended() {
      assertThat(known().mayStart(NOW_MS + 10, WALL_MS + CANCEL_MS)).isFalse();
    }

    @Test
    public void should_end_although_the_wall_clock_was_set_back() {
      assertThat(known().mayStart(NOW_MS + CANCEL_MS, WALL_MS - 60_000)).isFalse();
    }

    @Test
    public void should_not_be_made_older_by_the_late_reply_to_an_earlier_call() {
      // given
      JobsFreshness freshness = known();
      // when
      freshness.confirm(NOW_MS - 900, WALL_MS - 900);
      // then
      assertThat(freshness.ageMs(NOW_MS, WALL_MS)).isZero();
    }
  }

  /** An owner that the store confirms, while replies to its watch of the jobs are lost. */
  public static class WatchLost {
    private static DispatcherSimulation withoutNews(DispatcherSimulation simulation) {
      simulation.watchAnswered = false;
      return simulation;
    }

    private static List<DispatchCommand> starts(DispatcherSimulation simulation) {
      return simulation.commands.stream().filter(DispatchCommand.Start.class::isInstance).toList();
    }

    /** Regression (UNASKED): nothing bounded the age of what the owner knew of cancellations. */
    @Test
    public void should_not_start_the_next_phase_of_a_job_whose_cancelling_it_cannot_know() {
      // given: the first phase ends after the time in which a cancelling has to take effect
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = CANCEL_MS + 500;
      JobSpec job = job(ID, "urgent", tasks(1, 1_000), tasks(1, 1_000, 0));
      simulation.submit(job).run(200);
      // when: the store acknowledges a cancelling now, of which this owner hears nothing
      withoutNews(simulation).run(2 * CANCEL_MS);
      // then
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
      assertThat(simulation.startCount(SECOND)).isZero();
      assertThat(simulation.log)
          .filteredOn(line -> line.contains("jobs-outdated"))
          .singleElement()
          .asString()
          .contains("ageMs=");
    }

    @Test
    public void should_go_on_once_the_watch_answers() {
      // given
      DispatcherSimulation simulation = withoutNews(new DispatcherSimulation(2, 8).run(100));
      simulation.run(CANCEL_MS).submit(job(ID, "urgent", tasks(1, 1_000))).run(500);
      assertThat(starts(simulation)).isEmpty();
      // when
      simulation.watchAnswered = true;
      simulation.run(200);
      // then
      assertThat(starts(simulation)).hasSize(1);
      assertThat(simulation.log).anyMatch(line -> line.contains("jobs-current"));
    }

    @Test
    public void should_keep_leases_and_take_the_ends_of_runs() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.submit(job(ID, "urgent", serving(1, 1_000, ""), tasks(1, 1_000))).run(100);
      // when
      withoutNews(simulation).run(2 * DispatcherSimulation.MAX_LEASE_MS);
      // then
      assertThat(simulation.runningCopies(FIRST)).isEqualTo(1);
      assertThat(simulation.startCount(FIRST)).isEqualTo(1);
      assertThat(simulation.runningCopies(SECOND)).isZero();
    }

    /** The jobs are read at the beginning of a takeover that then waits for other reads. */
    @Test
    public void should_start_nothing_when_the_jobs_were_read_long_before_the_takeover_goes_on() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
      simulation.startOwner(2);
      simulation.dispatcher.jobsKnownAsOf(simulation.nowMs - CANCEL_MS, simulation.nowMs);
      // when
      withoutNews(simulation.submit(job(ID, "urgent", tasks(1, 1_000)))).run(1_000);
      // then
      assertThat(starts(simulation)).isEmpty();
    }
  }
}
