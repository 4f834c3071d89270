package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.testng.annotations.Test;

/**
 * Replays a load in which lasting jobs ask for more than all workers have, and a stream of short
 * jobs of the same priority for a twentieth of it.
 */
public class ShortTaskReserveTest {
  private static final int WORKERS = 20;
  private static final int CORES = 32;
  private static final long SHORT_JOB_INTERVAL_MS = 250;
  private static final long SHORT_TASK_MS = 500;

  /** Time within which a short job of one phase counts as on time: 1.5 times its work and 0.3 s. */
  private static final long OBJECTIVE_MS = 1_050;

  private static JobSpec acceptedNow(DispatcherSimulation simulation, JobSpec job) {
    return new JobSpec(
        job.id(), job.queue(), job.payload(), job.phases(), simulation.nowMs, 0, 0, 0);
  }

  /** Submits lasting jobs that together need 1.3 times what the workers have. */
  private static DispatcherSimulation overloadedByLastingTasks() {
    DispatcherSimulation simulation = new DispatcherSimulation(WORKERS, CORES).run(100);
    simulation.taskDurationMs = SHORT_TASK_MS;
    for (int i = 0; i < 13; i++) {
      JobSpec job = job("lasting-" + i, "urgent", serving(10, 6_400, ""));
      simulation.submit(acceptedNow(simulation, job)).run(100);
    }
    return simulation;
  }

  private static List<String> submitShortJobs(DispatcherSimulation simulation, int count) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String id = "short-" + simulation.nowMs;
      // Every fifth job is wide, and its tasks need more than half of a worker.
      JobSpec job = job(id, "urgent", i % 5 == 0 ? tasks(4, 18_000) : tasks(3, 6_000));
      ids.add(id);
      simulation.submit(acceptedNow(simulation, job)).run(SHORT_JOB_INTERVAL_MS);
    }
    return ids;
  }

  @Test
  public void should_serve_short_jobs_on_time_beside_more_lasting_tasks_than_fit() {
    // given: the first short jobs arrive together with the lasting ones
    DispatcherSimulation simulation = new DispatcherSimulation(WORKERS, CORES).run(100);
    simulation.taskDurationMs = SHORT_TASK_MS;
    submitShortJobs(simulation, 8);
    for (int i = 0; i < 13; i++) {
      JobSpec job = job("lasting-" + i, "urgent", serving(10, 6_400, ""));
      simulation.submit(acceptedNow(simulation, job));
    }
    // when
    List<String> ids = submitShortJobs(simulation, 60);
    simulation.run(OBJECTIVE_MS);
    // then
    long done = ids.stream().filter(id -> simulation.status(id) == JobStatus.COMPLETED).count();
    assertThat(done).isGreaterThanOrEqualTo(ids.size() * 9L / 10);
  }

  @Test
  public void should_leave_the_rest_of_the_room_to_lasting_tasks() {
    // given
    DispatcherSimulation simulation = overloadedByLastingTasks();
    // when
    submitShortJobs(simulation, 40);
    // then: the reserve is at most a quarter
    long lasting =
        simulation.workers.stream()
            .flatMap(worker -> worker.running.values().stream())
            .filter(run -> run.phase.spec.lasting())
            .count();
    assertThat(lasting).isGreaterThanOrEqualTo(WORKERS * CORES * 3 / 4 * 10 / 64 * 9 / 10);
  }

  @Test
  public void should_not_let_a_lasting_task_wait_beside_room_that_short_jobs_do_not_use() {
    // given: regression (further, trouble-2: LOST): short jobs came, and then came no more
    DispatcherSimulation simulation = new DispatcherSimulation(WORKERS, CORES).run(100);
    simulation.taskDurationMs = SHORT_TASK_MS;
    submitShortJobs(simulation, 20);
    for (int i = 0; i < 13; i++) {
      JobSpec job = job("lasting-" + i, "urgent", serving(10, 6_400, ""));
      simulation.submit(acceptedNow(simulation, job));
    }
    // when: the platform tolerates 3 s
    simulation.run(SHORT_TASK_MS + 3_000);
    // then: there is room for less than two more
    assertThat(simulation.runningCount()).isGreaterThanOrEqualTo(WORKERS * 5 - 1);
  }

  @Test
  public void should_use_all_room_for_lasting_tasks_when_there_are_no_short_jobs() {
    // given
    DispatcherSimulation simulation = overloadedByLastingTasks();
    // when
    simulation.run(1_000);
    // then: five tasks of 6.4 cores fit on each worker
    assertThat(simulation.runningCount()).isEqualTo(WORKERS * 5);
  }
}
