package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainloom.platform.standin.ObservedRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which jobs the soak reports as idle at the end, and what it excuses. */
public class IdleJobRuleTest {
  private static final String JOB = "00000000000000aa";
  private static final String OTHER_JOB = "00000000000000bb";
  private static final long FROM_MS = 50_000;
  private static final long TO_MS = FROM_MS + IdleJobRule.BOUND_MS;
  private static final int CPU_MILLIS = 1_000;

  private final AtomicLong nowMs = new AtomicLong();
  RunHistory history;
  ExchangeLog log;
  SoakJob job;
  SoakJob otherJob;

  @BeforeMethod
  public void setUp() {
    history = new RunHistory(nowMs::get);
    log = new ExchangeLog();
    job = new SoakJob(JOB, 2, 2, CPU_MILLIS, false, 0);
    otherJob = new SoakJob(OTHER_JOB, 1, 8, InvariantChecker.WORKER_CPU_MILLIS / 2, false, 0);
    answer("POST", JOB, 200, "");
  }

  void answer(String method, String jobId, int status, String state) {
    log.add(new Exchange(1, method, jobId, 10, 20, Exchange.End.ANSWERED, status, state));
  }

  static ObservedRun run(String task, String worker) {
    return new ObservedRun(task, 1, worker, "zone-1", 0, 4, false);
  }

  void start(String task, String worker, long atMs) {
    nowMs.set(atMs);
    history.started(run(task, worker), "work");
  }

  void end(String task, String worker, long atMs, String outcome) {
    nowMs.set(atMs);
    history.ended(run(task, worker), outcome);
  }

  void done(String task) {
    start(task, "i-0", 1_000);
    end(task, "i-0", 2_000, "done");
  }

  List<Violation> violations(String... workers) {
    return new IdleJobRule(List.of(workers), List.of(job, otherJob), history)
        .violations(log, FROM_MS);
  }

  /** Tests of jobs whose tasks end. */
  public static class Ending extends IdleJobRuleTest {
    @Test
    public void should_report_a_job_of_which_nothing_ran() {
      assertThat(violations("i-0"))
          .singleElement()
          .satisfies(
              violation -> {
                assertThat(violation.atMs()).isEqualTo(TO_MS);
                assertThat(violation.text())
                    .startsWith(LastingTaskRule.LOST)
                    .contains(JOB + ".0.0.0");
              });
    }

    @Test
    public void should_report_a_job_whose_next_phase_does_not_begin() {
      done(JOB + ".0.0.0");
      done(JOB + ".0.0.1");
      assertThat(violations("i-0"))
          .singleElement()
          .satisfies(violation -> assertThat(violation.text()).contains(JOB + ".0.1.0"));
    }

    @Test
    public void should_report_a_job_with_a_task_that_ended_in_another_way_and_did_not_run_again() {
      done(JOB + ".0.0.0");
      start(JOB + ".0.0.1", "i-0", 1_000);
      end(JOB + ".0.0.1", "i-0", FROM_MS - 1, "lapsed");
      assertThat(violations("i-0"))
          .singleElement()
          .satisfies(violation -> assertThat(violation.text()).contains(JOB + ".0.0.1"));
    }

    @Test
    public void should_report_a_job_with_a_task_whose_end_its_worker_forgot() {
      done(JOB + ".0.0.0");
      done(JOB + ".0.0.1");
      done(JOB + ".0.1.0");
      done(JOB + ".0.1.1");
      assertThat(violations("i-0")).isEmpty();
      history.endReportLost(run(JOB + ".0.1.1", "i-0"));
      assertThat(violations("i-0")).hasSize(1);
    }

    @Test
    public void should_accept_a_job_of_which_anything_runs_for_a_moment() {
      done(JOB + ".0.0.0");
      start(JOB + ".0.0.1", "i-0", TO_MS);
      assertThat(violations("i-0")).isEmpty();
    }

    @Test
    public void should_not_judge_jobs_that_are_over_or_were_not_accepted() {
      log.cancelSent(JOB, FROM_MS);
      assertThat(violations("i-0")).isEmpty();
      log = new ExchangeLog();
      assertThat(violations("i-0")).isEmpty();
      answer("POST", JOB, 200, "");
      answer("GET", JOB, 200, "active");
      assertThat(violations("i-0")).hasSize(1);
      answer("GET", JOB, 200, "completed");
      assertThat(violations("i-0")).isEmpty();
    }

    @Test
    public void should_not_judge_a_job_that_has_failed_with_cause() {
      for (int i = 0; i < JobStateRule.MAX_ATTEMPTS; i++) {
        assertThat(violations("i-0")).hasSize(1);
        start(JOB + ".0.0.0", "i-0", 1_000 + 10 * i);
        end(JOB + ".0.0.0", "i-0", 1_005 + 10 * i, "failed");
      }
      assertThat(violations("i-0")).isEmpty();
    }
  }

  /** Tests of lasting jobs. */
  public static class Lasting extends IdleJobRuleTest {
    @BeforeMethod
    public void makeJobLast() {
      job = new SoakJob(JOB, 1, 2, CPU_MILLIS, true, 0);
      start(JOB + ".0.0.0", "i-0", 1_000);
    }

    @Test
    public void should_report_a_task_that_never_ran_beside_one_that_runs() {
      assertThat(violations("i-0"))
          .singleElement()
          .satisfies(violation -> assertThat(violation.text()).contains(JOB + ".0.0.1"));
    }

    @Test
    public void should_accept_a_job_whose_tasks_all_run() {
      start(JOB + ".0.0.1", "i-0", 1_000);
      assertThat(violations("i-0")).isEmpty();
    }

    @Test
    public void should_report_a_task_from_a_time_after_its_last_run() {
      start(JOB + ".0.0.1", "i-0", 1_000);
      end(JOB + ".0.0.1", "i-0", FROM_MS - LastingTaskRule.DUE_MS + 1, "lapsed");
      assertThat(violations("i-0")).isEmpty();
      end(JOB + ".0.0.0", "i-0", FROM_MS - LastingTaskRule.DUE_MS, "lapsed");
      assertThat(violations("i-0")).hasSize(1);
    }
  }

  /** Tests of what the rule requires of the workers. */
  public static class Capacity extends IdleJobRuleTest {
    @Test
    public void should_require_that_less_than_half_is_in_use_all_the_time() {
      start(OTHER_JOB + ".0.0.0", "i-0", FROM_MS + 1_000);
      end(OTHER_JOB + ".0.0.0", "i-0", FROM_MS + 1_010, "done");
      assertThat(violations("i-0")).isEmpty();
      assertThat(violations("i-0", "i-1")).hasSize(1);
    }

    @Test
    public void should_require_room_for_the_task_twice_over() {
      job = new SoakJob(JOB, 1, 1, InvariantChecker.WORKER_CPU_MILLIS, false, 0);
      assertThat(violations("i-0")).isEmpty();
      assertThat(violations("i-0", "i-1")).hasSize(1);
    }

    @Test
    public void should_not_count_workers_that_are_gone_for_good() {
      job = new SoakJob(JOB, 1, 1, InvariantChecker.WORKER_CPU_MILLIS, false, 0);
      history.workerLost("i-1");
      assertThat(violations("i-0", "i-1")).isEmpty();
      assertThat(violations("i-0", "i-1", "i-2")).hasSize(1);
    }
  }
}
