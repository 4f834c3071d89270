package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainloom.platform.standin.ObservedRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the soak's rule for lasting tasks reports, and what it excuses. */
public class LastingTaskRuleTest {
  private static final String TASK = "00000000000000aa.0.0.0";
  private static final String OTHER_TASK = "00000000000000bb.0.0.0";
  private static final int HALF_WORKER = InvariantChecker.WORKER_CPU_MILLIS / 2;
  private static final long LOST_MS = 50_000;
  private static final long DUE_MS = LOST_MS + LastingTaskRule.DUE_MS;
  private static final long BROKEN_MS = DUE_MS + LastingTaskRule.BOUND_MS;

  private final AtomicLong nowMs = new AtomicLong();
  private RunHistory history;
  private FaultTimeline faults;
  private SoakJob job;
  private SoakJob otherJob;

  @BeforeMethod
  public void setUp() {
    history = new RunHistory(nowMs::get);
    faults = new FaultTimeline();
    job = job("00000000000000aa", true);
    otherJob = job("00000000000000bb", false);
    start(TASK, 1, "i-0", 10_000);
  }

  private static SoakJob job(String id, boolean lasting) {
    return new SoakJob(id, 1, 1, HALF_WORKER, lasting, 0);
  }

  private static ObservedRun run(String task, long number, String worker) {
    return new ObservedRun(task, number, worker, "zone-1", 0, 4, false);
  }

  private void start(String task, long number, String worker, long atMs) {
    nowMs.set(atMs);
    history.started(run(task, number, worker), "serve");
  }

  private void end(String task, long number, String worker, long atMs) {
    nowMs.set(atMs);
    history.ended(run(task, number, worker), "lapsed");
  }

  private List<Violation> violations(long judgedUntilMs, String... workers) {
    return new LastingTaskRule(
            List.of(workers), List.of(job, otherJob), faults, term -> OptionalInt.of(1))
        .violations(history, judgedUntilMs);
  }

  @Test
  public void should_report_a_task_that_does_not_run_again_in_time() {
    end(TASK, 1, "i-0", LOST_MS);
    start(TASK, 2, "i-0", BROKEN_MS + 500);
    assertThat(violations(BROKEN_MS + 60_000, "i-0"))
        .singleElement()
        .satisfies(
            violation -> {
              assertThat(violation.atMs()).isEqualTo(BROKEN_MS);
              assertThat(violation.text())
                  .startsWith(LastingTaskRule.LOST)
                  .contains(TASK + " is away", "(9500 ms)", "run 1 from node-1 (term 4)", "lapsed");
            });
  }

  @Test
  public void should_report_a_task_that_never_runs_again() {
    end(TASK, 1, "i-0", LOST_MS);
    assertThat(violations(BROKEN_MS - 1, "i-0")).isEmpty();
    assertThat(violations(BROKEN_MS, "i-0")).hasSize(1);
  }

  @Test
  public void should_accept_a_task_that_runs_again_in_time() {
    end(TASK, 1, "i-0", LOST_MS);
    start(TASK, 2, "i-0", BROKEN_MS - 1);
    assertThat(violations(BROKEN_MS + 60_000, "i-0")).isEmpty();
  }

  @Test
  public void should_require_calm_for_the_time_and_before_it_but_no_longer() {
    end(TASK, 1, "i-0", LOST_MS);
    faults.add(FaultScope.ofOthers(), 0, DUE_MS - LastingTaskRule.CALM_BEFORE_MS - 1);
    assertThat(violations(BROKEN_MS, "i-0")).hasSize(1);
    faults.add(FaultScope.ofOthers(), DUE_MS, DUE_MS + 20);
    long calmMs = DUE_MS + 20 + LastingTaskRule.CALM_BEFORE_MS + LastingTaskRule.BOUND_MS;
    assertThat(violations(calmMs, "i-0")).isEmpty();
    assertThat(violations(calmMs + 100, "i-0")).hasSize(1);
  }

  @Test
  public void should_require_room_for_the_task_twice_over_all_the_time() {
    start(OTHER_TASK, 1, "i-0", DUE_MS + 2_000);
    end(OTHER_TASK, 1, "i-0", DUE_MS + 2_010);
    end(TASK, 1, "i-0", LOST_MS);
    assertThat(violations(BROKEN_MS, "i-0")).isEmpty();
    assertThat(violations(BROKEN_MS, "i-0", "i-1")).hasSize(1);
  }

  @Test
  public void should_not_count_room_of_workers_that_are_gone_for_good() {
    end(TASK, 1, "i-0", LOST_MS);
    nowMs.set(LOST_MS);
    history.workerLost("i-0");
    assertThat(violations(BROKEN_MS, "i-0")).isEmpty();
    assertThat(violations(BROKEN_MS, "i-0", "i-1")).hasSize(1);
  }

  @Test
  public void should_not_judge_jobs_that_are_cancelled_or_do_not_last() {
    start(OTHER_TASK, 1, "i-0", 20_000);
    end(OTHER_TASK, 1, "i-0", LOST_MS);
    end(TASK, 1, "i-0", LOST_MS);
    job.cancelRequested = true;
    assertThat(violations(BROKEN_MS + 60_000, "i-0", "i-1")).isEmpty();
  }
}
