package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainloom.platform.standin.ObservedRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which states of jobs the soak reports as shown without cause. */
public class JobStateRuleTest {
  private static final String JOB = "00000000000000aa";
  private static final String TASK = JOB + ".0.0.0";
  private static final String OTHER_TASK = JOB + ".0.0.1";
  private static final long SHOWN_MS = 20_000;

  private final AtomicLong nowMs = new AtomicLong();
  private RunHistory history;
  ExchangeLog log;
  SoakJob job;

  @BeforeMethod
  public void setUp() {
    history = new RunHistory(nowMs::get);
    log = new ExchangeLog();
    job = new SoakJob(JOB, 1, 2, 500, false, 0);
  }

  void run(String task, long number, long endMs, String outcome) {
    ObservedRun run = new ObservedRun(task, number, "i-0", "zone-1", 0, 4, false);
    nowMs.set(endMs - 100);
    history.started(run, "work");
    nowMs.set(endMs);
    history.ended(run, outcome);
  }

  void show(String state, long atMs) {
    log.add(new Exchange(1, "GET", JOB, atMs - 5, atMs, Exchange.End.ANSWERED, 200, state));
  }

  List<Violation> violations() {
    return new JobStateRule(List.of(job), history).violations(log);
  }

  /** Tests of jobs that are shown as failed. */
  public static class Failed extends JobStateRuleTest {
    @Test
    public void should_accept_it_after_all_attempts_of_a_task_failed() {
      fail(TASK, JobStateRule.MAX_ATTEMPTS);
      show("failed", SHOWN_MS);
      assertThat(violations()).isEmpty();
    }

    @Test
    public void should_report_it_before_the_last_attempt_failed() {
      fail(TASK, JobStateRule.MAX_ATTEMPTS - 1);
      run(TASK, JobStateRule.MAX_ATTEMPTS, SHOWN_MS + 1, "failed");
      show("failed", SHOWN_MS);
      assertThat(violations())
          .singleElement()
          .satisfies(
              violation ->
                  assertThat(violation.text())
                      .startsWith(LastingTaskRule.LOST + " shown as failed without cause")
                      .contains(JOB, "node-1"));
    }

    @Test
    public void should_report_it_if_runs_ended_in_another_way() {
      fail(TASK, JobStateRule.MAX_ATTEMPTS - 1);
      run(TASK, 3, 9_000, "lapsed");
      run(TASK, 4, 9_500, "stopped");
      run(TASK, 5, 9_800, "gone");
      show("failed", SHOWN_MS);
      assertThat(violations()).hasSize(1);
    }

    @Test
    public void should_report_it_if_the_attempts_are_of_several_tasks() {
      fail(TASK, JobStateRule.MAX_ATTEMPTS - 1);
      fail(OTHER_TASK, JobStateRule.MAX_ATTEMPTS - 1);
      show("failed", SHOWN_MS);
      assertThat(violations()).hasSize(1);
    }

    @Test
    public void should_report_it_for_a_lasting_job() {
      job = new SoakJob(JOB, 1, 2, 500, true, 0);
      fail(TASK, JobStateRule.MAX_ATTEMPTS);
      show("failed", SHOWN_MS);
      assertThat(violations()).hasSize(1);
    }

    @Test
    public void should_report_it_once_for_a_job() {
      show("failed", SHOWN_MS);
      show("failed", SHOWN_MS + 100);
      assertThat(violations()).hasSize(1);
    }
  }

  /** Tests of jobs that are shown as cancelled. */
  public static class Cancelled extends JobStateRuleTest {
    @Test
    public void should_report_it_if_no_cancellation_was_sent_before() {
      log.cancelSent(JOB, SHOWN_MS + 1);
      show("cancelled", SHOWN_MS);
      assertThat(violations())
          .singleElement()
          .satisfies(
              violation ->
                  assertThat(violation.text()).contains("shown as cancelled without cause"));
    }

    @Test
    public void should_accept_it_once_a_cancellation_was_sent() {
      log.cancelSent(JOB, SHOWN_MS);
      show("cancelled", SHOWN_MS);
      assertThat(violations()).isEmpty();
    }
  }

  /** Tests of jobs that are not over, or completed. */
  public static class Other extends JobStateRuleTest {
    @Test
    public void should_not_judge_other_states() {
      show("queued", SHOWN_MS);
      show("active", SHOWN_MS);
      show("completed", SHOWN_MS);
      assertThat(violations()).isEmpty();
    }
  }

  void fail(String task, int times) {
    for (int i = 1; i <= times; i++) {
      run(task, i, 1_000L * i, "failed");
    }
  }
}
