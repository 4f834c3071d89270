package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.testng.annotations.Test;

/** Tests that the log tells why a lasting task does not run. */
public class LastingTaskWaitsTest {
  private static final String ID = "00000000000000aa";

  private static List<String> waits(DispatcherSimulation simulation) {
    return simulation.log.stream().filter(line -> line.contains("lasting-tasks-wait")).toList();
  }

  private static void loseWorkers(DispatcherSimulation simulation) {
    simulation.workers.stream()
        .filter(worker -> !worker.running.isEmpty())
        .forEach(
            worker -> {
              worker.unreachable = true;
              worker.running.clear();
            });
  }

  private static void takeOver(DispatcherSimulation simulation, JobSpec job) {
    simulation.startOwner(2);
    simulation.dispatcher.restoreJob(job, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    simulation.run(1_500);
  }

  @Test
  public void should_say_nothing_while_all_run() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    // when
    simulation.submit(job(ID, "urgent", serving(4, 1_000, ""))).run(5_000);
    // then
    assertThat(waits(simulation)).isEmpty();
  }

  @Test
  public void should_tell_that_no_worker_has_room_once_a_second() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    // when
    simulation.submit(job(ID, "urgent", serving(9, 1_000, ""))).run(3_000);
    // then
    assertThat(waits(simulation)).hasSizeBetween(2, 4).allMatch(l -> l.endsWith("noRoom=1"));
  }

  @Test
  public void should_tell_that_room_is_kept_for_short_tasks() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(4, 32).run(100);
    simulation.taskDurationMs = 500;
    for (int i = 0; i < 12; i++) {
      JobSpec spec = job("short-" + i, "urgent", tasks(3, 6_000));
      JobSpec accepted =
          new JobSpec(spec.id(), spec.queue(), "", spec.phases(), simulation.nowMs, 0, 0, 0);
      simulation.submit(accepted).run(250);
    }
    // when
    simulation.submit(job(ID, "urgent", serving(30, 6_000, ""))).run(1_000);
    // then
    assertThat(waits(simulation)).anyMatch(line -> line.contains("reserved="));
  }

  @Test
  public void should_tell_that_a_takeover_waits_for_workers() {
    // given: the previous owner could not store that the worker was lost
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    JobSpec job = job(ID, "urgent", serving(1, 1_000, ""));
    simulation.submit(job).run(500);
    loseWorkers(simulation);
    // when
    takeOver(simulation, job);
    // then
    assertThat(waits(simulation)).anyMatch(line -> line.endsWith("takeover=1"));
  }

  @Test
  public void should_tell_that_a_silent_worker_may_run_it() {
    // given: the previous owner stored which tasks the lost worker may run
    DispatcherSimulation simulation = new DispatcherSimulation(3, 8).run(100);
    JobSpec job = job(ID, "urgent", serving(1, 1_000, ""));
    simulation.submit(job).run(500);
    loseWorkers(simulation);
    simulation.run(2_000);
    // when
    takeOver(simulation, job);
    // then
    assertThat(waits(simulation)).anyMatch(line -> line.endsWith("silentWorker=1"));
  }
}
