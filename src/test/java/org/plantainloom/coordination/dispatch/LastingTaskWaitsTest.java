package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import java.util.regex.Pattern;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.testng.annotations.Test;

/** Tests that the log tells why a lasting task does not run. */
public class LastingTaskWaitsTest {
  private static final String ID = "00000000000000aa";

  /** Time, event and subject of a line; the subject is the group. */
  private static final Pattern LINE = Pattern.compile("\\S+ \\S+ (\\S+) .*");

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

  private static List<String> lines(DispatcherSimulation simulation, String event) {
    return simulation.log.stream().filter(line -> line.contains(" " + event + " ")).toList();
  }

  private static String subject(String line) {
    return LINE.matcher(line).replaceFirst("$1");
  }

  @Test
  public void should_tell_at_the_start_how_long_each_reason_delayed_the_task() {
    // given: a lost worker delays the takeover, and then no other worker has room
    DispatcherSimulation simulation = new DispatcherSimulation(2, 8).run(100);
    JobSpec blocking = job("00000000000000bb", "urgent", serving(1, 8_000, ""));
    JobSpec job = job(ID, "urgent", serving(1, 8_000, ""));
    simulation.submit(blocking).run(500).submit(job).run(500);
    SimulatedWorker lost =
        simulation.workers.stream()
            .filter(w -> w.running.keySet().stream().anyMatch(key -> key.jobId().equals(ID)))
            .findFirst()
            .orElseThrow();
    lost.unreachable = true;
    lost.running.clear();
    simulation.startOwner(2);
    simulation.dispatcher.restoreJob(blocking, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.restoreJob(job, JobProgress.NONE, 0, simulation.nowMs);
    simulation.dispatcher.jobsRestored();
    simulation.run(10_000);
    // when
    simulation.dispatcher.jobCancelled(blocking.id(), simulation.nowMs);
    simulation.run(1_000);
    // then
    assertThat(lines(simulation, "run-ordered"))
        .last()
        .asString()
        .contains(ID)
        .matches(".* waitedMs=\\d{5} takeoverMs=\\d{4} noRoomMs=\\d{4} .*earlier=.*");
  }

  @Test
  public void should_name_each_task_that_waits_for_long_at_a_bounded_rate() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    // when
    simulation.submit(job(ID, "urgent", serving(20, 1_000, ""))).run(6_500);
    // then
    List<String> delayed = lines(simulation, "lasting-task-delayed");
    assertThat(delayed).hasSizeLessThanOrEqualTo(25).allMatch(l -> l.contains("reason=noRoom"));
    assertThat(delayed.stream().map(LastingTaskWaitsTest::subject).distinct()).hasSize(12);
  }

  @Test
  public void should_name_a_task_that_waits_for_long_under_the_next_owner_too() {
    // given
    DispatcherSimulation simulation = new DispatcherSimulation(1, 8).run(100);
    JobSpec job = job(ID, "urgent", serving(9, 1_000, ""));
    simulation.submit(job).run(4_000);
    simulation.log.clear();
    // when
    takeOver(simulation, job);
    simulation.run(2_000);
    // then
    assertThat(lines(simulation, "lasting-task-delayed")).anyMatch(line -> line.contains(ID));
  }
}
