package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which responses the soak's rule for accepted jobs reports, and what it excuses. */
public class VisibleJobRuleTest {
  private static final String JOB = "00000000000000aa";
  private static final long ACCEPTED_MS = 10_000;
  private static final long VISIBLE_MS = ACCEPTED_MS + VisibleJobRule.BOUND_MS;
  private static final int NODE = 1;

  private ExchangeLog log;
  private FaultTimeline faults;

  @BeforeMethod
  public void setUp() {
    log = new ExchangeLog();
    faults = new FaultTimeline();
    answer("POST", ACCEPTED_MS, 200, "");
  }

  private void answer(String method, long atMs, int status, String state) {
    log.add(new Exchange(NODE, method, JOB, atMs - 5, atMs, Exchange.End.ANSWERED, status, state));
  }

  private List<Violation> violations() {
    return new VisibleJobRule(faults).violations(log);
  }

  @Test
  public void should_report_a_job_that_is_denied_after_the_bound() {
    answer("GET", VISIBLE_MS + 1, Exchange.GONE, "");
    assertThat(violations())
        .singleElement()
        .satisfies(
            violation -> {
              assertThat(violation.atMs()).isEqualTo(VISIBLE_MS + 1);
              assertThat(violation.text())
                  .startsWith(LastingTaskRule.LOST + " denied 3001 ms after it was accepted")
                  .contains(JOB, "node-1", "410");
            });
  }

  @Test
  public void should_report_each_denial_even_if_the_job_is_known_in_between() {
    answer("GET", VISIBLE_MS + 1, Exchange.GONE, "");
    answer("GET", VISIBLE_MS + 50, 200, "active");
    answer("GET", VISIBLE_MS + 100, Exchange.GONE, "");
    assertThat(violations()).hasSize(2);
  }

  @Test
  public void should_accept_a_denial_up_to_the_bound_and_any_other_response() {
    answer("GET", VISIBLE_MS, Exchange.GONE, "");
    answer("GET", VISIBLE_MS + 1, 503, "");
    answer("GET", VISIBLE_MS + 1, 200, "queued");
    assertThat(violations()).isEmpty();
  }

  @Test
  public void should_judge_from_the_first_acknowledgement() {
    answer("POST", VISIBLE_MS, 200, "");
    answer("GET", VISIBLE_MS + 1, Exchange.GONE, "");
    assertThat(violations()).hasSize(1);
  }

  @Test
  public void should_not_judge_a_job_that_was_not_accepted() {
    log = new ExchangeLog();
    answer("POST", ACCEPTED_MS, 503, "");
    answer("GET", VISIBLE_MS + 1, Exchange.GONE, "");
    assertThat(violations()).isEmpty();
  }

  @Test
  public void should_excuse_a_denial_only_after_a_cancellation_was_sent() {
    log.cancelSent(JOB, VISIBLE_MS + 100);
    answer("GET", VISIBLE_MS + 100, Exchange.GONE, "");
    assertThat(violations()).isEmpty();
    answer("GET", VISIBLE_MS + 99, Exchange.GONE, "");
    assertThat(violations()).hasSize(1);
  }

  @Test
  public void should_excuse_only_a_node_that_is_not_in_touch() {
    faults.add(FaultScope.ofNode(NODE + 1), VISIBLE_MS - 100, VISIBLE_MS);
    answer("GET", VISIBLE_MS + 1, Exchange.GONE, "");
    assertThat(violations()).hasSize(1);
    faults.add(FaultScope.ofPlannedStop(NODE), VISIBLE_MS - 100, VISIBLE_MS);
    assertThat(violations()).isEmpty();
    answer("GET", VISIBLE_MS + FaultTimeline.CONTACT_MS + 1, Exchange.GONE, "");
    assertThat(violations()).hasSize(1);
  }

  @Test
  public void should_not_judge_a_job_whose_state_need_not_be_kept() {
    answer("GET", ACCEPTED_MS + VisibleJobRule.KEPT_MS, Exchange.GONE, "");
    assertThat(violations()).isEmpty();
    answer("GET", ACCEPTED_MS + VisibleJobRule.KEPT_MS - 1, Exchange.GONE, "");
    assertThat(violations()).hasSize(1);
  }
}
