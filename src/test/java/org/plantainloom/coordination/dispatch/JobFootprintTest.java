package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.testng.annotations.Test;

/** Tests that the estimate covers what jobs take of a heap, measured after collections. */
public class JobFootprintTest {
  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Returns how many bytes each of many objects retains. */
  private static long retainedBytes(int count, IntFunction<Object> factory) {
    List<Object> kept = new ArrayList<>(count);
    long before = usedBytes();
    for (int i = 0; i < count; i++) {
      kept.add(factory.apply(i));
    }
    long bytes = (usedBytes() - before) / count;
    assertThat(kept).hasSize(count);
    return bytes;
  }

  private static String id(int number) {
    return String.format("%016x", number);
  }

  /** Returns a job as an owner reads it, which shares nothing with others. */
  private static JobSpec read(JobSpec job) {
    return Json.read(Json.write(job), JobSpec.class);
  }

  private static void assertCovered(String what, long retainedBytes, long estimatedBytes) {
    System.out.println("footprint of " + what + ": " + retainedBytes + " of " + estimatedBytes);
    assertThat(retainedBytes).as(what).isLessThanOrEqualTo(estimatedBytes);
  }

  private static void assertCovered(String what, int count, JobSpec job) {
    long retained =
        retainedBytes(
            count,
            i -> {
              JobState state = new JobState(read(job), 0);
              state.openDue(Long.MAX_VALUE);
              return state;
            });
    assertCovered(what, retained, JobFootprint.ofOpen(job));
  }

  @Test
  public void should_cover_jobs_that_wait() {
    assertCovered(
        "a job of two phases", 20_000, job(id(1), "urgent", tasks(8, 500), tasks(8, 500, 0)));
    assertCovered("a wide job", 20_000, job(id(1), "urgent", tasks(10_000, 500)));
    assertCovered(
        "a job of 4,000 bytes",
        5_000,
        new JobSpec(id(1), "urgent", "x".repeat(4_000), List.of(tasks(1, 500)), 0, 0, 0, 0));
    assertCovered(
        "a schedule of a week",
        1_000,
        new JobSpec(id(1), "urgent", "text", List.of(tasks(1, 500)), 0, 1_000, 60_000, 10_080));
  }

  @Test
  public void should_cover_lasting_tasks_that_run() {
    int tasks = 1_000;
    JobSpec job = job(id(1), "urgent", serving(tasks, 500, ""));
    WorkerState worker =
        new WorkerState(
            new WorkerRegistration(
                "w", "service", "w:1", "z", false, job.phases().get(0).need(), List.of(), 1, 1),
            0);
    RunLifecycle runs =
        new RunLifecycle(
            new JobTable(),
            new FailureAttribution(List::of, (event, subject, detail) -> {}),
            (event, subject, detail) -> {},
            1,
            name -> null);
    long retained =
        retainedBytes(
            100,
            number -> {
              JobState state = new JobState(read(job), 0);
              for (int i = 0; i < tasks; i++) {
                TaskState task = state.task(new TaskKey(job.id(), 0, 0, i));
                runs.begin(task, worker, 1, 0);
                task.phase.markBegun(i);
              }
              worker.runs.clear();
              return state;
            });
    assertCovered("a job of 1,000 lasting tasks", retained, JobFootprint.ofOpen(job));
  }

  @Test
  public void should_cover_finished_jobs() {
    Map<String, FinishedJob> finished = new HashMap<>();
    long retained =
        retainedBytes(
            50_000,
            i -> finished.put(id(i), new FinishedJob(JobStatus.COMPLETED, i)) == null ? "" : "x");
    assertCovered("a finished job", retained, JobFootprint.FINISHED_JOB_BYTES);
  }
}
