package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which jobs the soak reports as not known or not answered after the traffic. */
public class FinishedTrafficRuleTest {
  private static final String JOB = "00000000000000aa";
  private static final long ASKED_MS = 50_000;

  private final SoakJob job = new SoakJob(JOB, 1, 2, 500, false, 0);
  private ExchangeLog log;

  @BeforeMethod
  public void setUp() {
    log = new ExchangeLog();
    answer("POST", 10_000, 10_005, 200);
  }

  private void answer(String method, long sentMs, long endMs, int status) {
    log.add(new Exchange(1, method, JOB, sentMs, endMs, Exchange.End.ANSWERED, status, ""));
  }

  private List<Violation> violations() {
    return new FinishedTrafficRule(ASKED_MS).violations(List.of(job), log);
  }

  @Test
  public void should_accept_a_job_whose_state_is_told_in_time() {
    answer("GET", ASKED_MS, ASKED_MS + Exchange.DEADLINE_MS, 200);
    assertThat(violations()).isEmpty();
  }

  @Test
  public void should_report_a_job_that_is_not_known() {
    answer("GET", ASKED_MS, ASKED_MS + 5, Exchange.GONE);
    assertThat(violations())
        .singleElement()
        .satisfies(
            violation ->
                assertThat(violation.text())
                    .startsWith(LastingTaskRule.LOST + " not known at the end")
                    .contains(JOB));
  }

  @Test
  public void should_report_a_job_that_one_node_knows_and_another_does_not() {
    answer("GET", ASKED_MS, ASKED_MS + 5, 200);
    answer("GET", ASKED_MS + 10, ASKED_MS + 15, Exchange.GONE);
    assertThat(violations()).hasSize(1);
  }

  @Test
  public void should_report_a_job_without_an_answer_in_time() {
    answer("GET", ASKED_MS - 1, ASKED_MS + 5, 200);
    log.add(new Exchange(1, "GET", JOB, ASKED_MS, ASKED_MS + 9, Exchange.End.CUT, 0, ""));
    answer("GET", ASKED_MS + 10, ASKED_MS + 15, 503);
    answer("GET", ASKED_MS + 20, ASKED_MS + Exchange.DEADLINE_MS + 1, 200);
    assertThat(violations())
        .singleElement()
        .satisfies(
            violation ->
                assertThat(violation.text())
                    .startsWith(LastingTaskRule.LOST + " not answered: " + JOB));
  }

  @Test
  public void should_report_a_job_that_was_not_asked_for() {
    assertThat(violations()).hasSize(1);
  }

  @Test
  public void should_accept_a_later_answer_that_is_in_time() {
    log.add(new Exchange(1, "GET", JOB, ASKED_MS, ASKED_MS + 9, Exchange.End.CUT, 0, ""));
    answer("GET", ASKED_MS + 20, ASKED_MS + 25, 200);
    assertThat(violations()).isEmpty();
  }

  @Test
  public void should_let_a_cancelled_job_be_unknown_but_not_unanswered() {
    log.cancelSent(JOB, 20_000);
    assertThat(violations()).hasSize(1);
    answer("GET", ASKED_MS, ASKED_MS + 5, Exchange.GONE);
    assertThat(violations()).isEmpty();
  }

  @Test
  public void should_not_judge_a_job_that_was_not_accepted() {
    log = new ExchangeLog();
    answer("GET", ASKED_MS, ASKED_MS + 5, Exchange.GONE);
    assertThat(violations()).isEmpty();
  }
}
