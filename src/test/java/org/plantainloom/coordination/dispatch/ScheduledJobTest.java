package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.TaskKey;
import org.testng.annotations.Test;

/** Tests for jobs that run again and again. */
public class ScheduledJobTest {
  private static final String ID = "00000000000000aa";

  /** Once a minute for a week. */
  private static final int TIMES_IN_A_WEEK = 7 * 24 * 60;

  private static final long MINUTE_MS = 60_000;
  private static final long START_MS = 1_001_000;

  private static JobSpec job(int times, long periodMs, PhaseSpec... phases) {
    return new JobSpec(ID, "urgent", "text", List.of(phases), 0, START_MS, periodMs, times);
  }

  private static TaskKey task(int occurrence) {
    return new TaskKey(ID, occurrence, 0, 0);
  }

  private static DispatcherSimulation restored(
      DispatcherSimulation simulation, long term, JobSpec job) {
    simulation.startOwner(term);
    JobProgress progress = simulation.persistedProgress.getOrDefault(ID, JobProgress.NONE);
    simulation.dispatcher.restoreJob(job, progress, 1, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    return simulation;
  }

  private static List<Integer> startCounts(DispatcherSimulation simulation, int times) {
    List<Integer> counts = new ArrayList<>();
    for (int occurrence = 0; occurrence < times; occurrence++) {
      counts.add(simulation.startCount(task(occurrence)));
    }
    return counts;
  }

  /** What an owner keeps and stores of a schedule. */
  public static class Size {
    /** Ten bytes for each occurrence of a week. */
    private static final long MAX_BYTES = 10L * TIMES_IN_A_WEEK;

    /** Regression (LOST, review/6): schedules of a week filled the heap of each owner in turn. */
    @Test
    public void should_not_need_memory_for_each_occurrence_that_will_be_due() {
      JobSpec job = job(TIMES_IN_A_WEEK, MINUTE_MS, tasks(1, 500));
      assertThat(AllocatedBytes.of(() -> new JobState(job, 0))).isLessThan(MAX_BYTES);
    }

    @Test
    public void should_not_need_memory_for_each_occurrence_in_a_round() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
      simulation.submit(job(TIMES_IN_A_WEEK, MINUTE_MS, serving(1, 500, "")));
      // then
      assertThat(AllocatedBytes.of(() -> simulation.run(10))).isLessThan(MAX_BYTES);
    }

    @Test
    public void should_not_look_at_a_hundred_thousand_tasks_that_are_not_due_in_a_round() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
      for (int i = 0; i < 10; i++) {
        String id = String.format("%016x", i);
        simulation.submit(
            new JobSpec(
                id,
                "urgent",
                "text",
                List.of(serving(1, 500, "")),
                0,
                START_MS + MINUTE_MS,
                MINUTE_MS,
                TIMES_IN_A_WEEK));
      }
      // then
      assertThat(AllocatedBytes.of(() -> simulation.run(10))).isLessThan(MAX_BYTES);
    }

    /** Regression (LOST, review/6): each end wrote an entry for each occurrence that was over. */
    @Test
    public void should_store_occurrences_that_are_over_as_ranges() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(4, 8).run(100);
      simulation.taskDurationMs = 20;
      // when
      simulation.submit(job(20_000, 100, tasks(1, 500))).run(60_000);
      // then
      assertThat(simulation.startCount(task(500))).isEqualTo(1);
      assertThat(Json.write(simulation.persistedProgress.get(ID)).length()).isLessThan(300);
    }

    @Test
    public void should_open_a_bounded_number_of_occurrences_that_wait() {
      // given: all are due at once, and none fits
      JobState job = new JobState(job(20_000, 0, tasks(1, 500)), 0);
      // when
      job.openDue(START_MS);
      job.openDue(START_MS);
      // then
      assertThat(job.openOccurrences()).hasSize(JobState.MAX_IDLE_OCCURRENCES);
    }

    @Test
    public void should_restore_records_of_releases_that_stored_each_occurrence() {
      // given
      Map<String, String> done = new HashMap<>();
      for (int occurrence = 0; occurrence < 5_000; occurrence++) {
        done.put(occurrence + ".0", "01");
      }
      JobState job = new JobState(job(TIMES_IN_A_WEEK, MINUTE_MS, tasks(1, 500)), 0);
      // when
      job.restore(new JobProgress(JobStatus.ACTIVE, done, Map.of(), Map.of(), Optional.empty()), 1);
      // then
      assertThat(job.openOccurrences()).isEmpty();
      assertThat(job.progress().done()).containsExactly(Map.entry("0-4999", ""));
    }
  }

  /** When occurrences run. */
  public static class Turns {
    private static final int TIMES = 8;

    @Test
    public void should_run_each_occurrence_once_and_not_before_it_is_due() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.submit(job(TIMES, 1_000, tasks(1, 500)));
      // when
      simulation.run(START_MS - simulation.nowMs - 10);
      // then
      assertThat(startCounts(simulation, TIMES)).containsOnly(0);
      simulation.run(2_500);
      assertThat(startCounts(simulation, TIMES)).containsExactly(1, 1, 1, 0, 0, 0, 0, 0);
      simulation.run(10_000);
      assertThat(startCounts(simulation, TIMES)).containsOnly(1);
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_run_occurrences_that_overlap_at_the_same_time() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 5_000;
      // when
      simulation.submit(job(TIMES, 500, tasks(1, 500))).run(1_000 + 4_000);
      // then
      assertThat(simulation.runningCount()).isEqualTo(TIMES);
    }

    @Test
    public void should_run_the_phases_of_an_occurrence_in_order() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      // when
      simulation.submit(job(2, 100, tasks(2, 500), tasks(1, 500, 0)));
      simulation.run(START_MS - simulation.nowMs + 150);
      // then
      assertThat(simulation.startCount(new TaskKey(ID, 0, 1, 0))).isZero();
      simulation.run(1_000);
      assertThat(simulation.startCount(new TaskKey(ID, 1, 1, 0))).isEqualTo(1);
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_run_all_occurrences_that_fell_due_while_there_was_no_owner() {
      // given
      int times = 300;
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      JobSpec job = job(times, 100, tasks(1, 500));
      simulation.submit(job).run(2_000);
      // when
      restored(simulation.runWithoutOwner(20_000), 2, job).run(30_000);
      // then
      assertThat(startCounts(simulation, times)).containsOnly(1);
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_not_let_the_latest_occurrence_wait_for_all_that_fell_due_before() {
      // given: room for one task, and hundreds of occurrences that are late
      int times = 1_000;
      DispatcherSimulation simulation = new DispatcherSimulation(1, 1);
      simulation.taskDurationMs = 400;
      JobSpec job =
          new JobSpec(ID, "urgent", "text", List.of(tasks(1, 1_000)), 0, 1_000, 1_000, times);
      // when
      simulation.submit(job).run(3_000);
      // then
      assertThat(simulation.startCount(task(times - 1))).isEqualTo(1);
      assertThat(simulation.startCount(task(times / 2))).isZero();
    }

    @Test
    public void should_run_no_occurrence_of_a_cancelled_schedule() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      simulation.taskDurationMs = 60_000;
      simulation.submit(job(TIMES, 1_000, tasks(1, 500))).run(2_500);
      // when
      simulation.dispatcher.jobCancelled(ID, simulation.nowMs);
      simulation.run(10_000);
      // then
      assertThat(startCounts(simulation, TIMES)).containsExactly(1, 1, 0, 0, 0, 0, 0, 0);
      assertThat(simulation.runningCount()).isZero();
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.CANCELLED);
    }

    @Test
    public void should_run_each_occurrence_once_over_changes_of_owner() {
      // given
      int times = 60;
      DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
      JobSpec job = job(times, 100, tasks(2, 500), tasks(1, 500, 0));
      simulation.submit(job);
      // when
      for (int term = 2; term < 8; term++) {
        restored(simulation.run(1_030), term, job);
      }
      simulation.run(20_000);
      // then
      assertThat(startCounts(simulation, times)).containsOnly(1);
      assertThat(simulation.status(ID)).isEqualTo(JobStatus.COMPLETED);
    }

    @Test
    public void should_stop_a_run_of_an_occurrence_that_is_over() {
      // given
      DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
      simulation.submit(job(TIMES, 10_000, tasks(1, 500))).run(2_000);
      SimulatedWorker worker = simulation.workers.get(0);
      PhaseState phase =
          new JobState(DispatcherSimulation.job(ID, "urgent", tasks(1, 500)), 0)
              .task(task(0))
              .phase;
      // when: such as one that was started by an order of a former owner that was carried out late
      worker.running.put(task(0), new SimulatedWorker.SimulatedRun(1, phase, 60_000));
      simulation.run(3_000);
      // then
      assertThat(worker.running).isEmpty();
      simulation.run(10_000);
      assertThat(startCounts(simulation, TIMES)).startsWith(1, 1);
    }
  }
}
