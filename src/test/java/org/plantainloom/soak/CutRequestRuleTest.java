package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which requests the soak reports as cut beside planned work, and what it excuses. */
public class CutRequestRuleTest {
  private static final int NODE = 1;
  private static final long SIGNAL_MS = 20_000;
  private static final long SLACK_MS = CutRequestRule.SLACK_MS;

  PlannedWork work;
  FaultTimeline faults;
  List<Exchange> exchanges;

  @BeforeMethod
  public void setUp() {
    work = new PlannedWork();
    faults = new FaultTimeline();
    exchanges = new ArrayList<>();
  }

  static Exchange exchange(int node, long sentMs, long durationMs, Exchange.End end) {
    return new Exchange(node, "GET", "00000000000000aa", sentMs, sentMs + durationMs, end, 0, "");
  }

  void cut(long sentMs, long durationMs) {
    exchanges.add(exchange(NODE, sentMs, durationMs, Exchange.End.CUT));
  }

  List<Violation> violations() {
    return new CutRequestRule(work, faults).violations(exchanges);
  }

  /** Tests of requests to a node that is asked to stop. */
  public static class Termination extends CutRequestRuleTest {
    @BeforeMethod
    public void terminate() {
      work.terminated(NODE, SIGNAL_MS);
      faults.add(FaultScope.ofPlannedStop(NODE), SIGNAL_MS, SIGNAL_MS + 7_000);
    }

    @Test
    public void should_report_a_request_that_is_cut_after_the_slack() {
      cut(SIGNAL_MS + 3_000, SLACK_MS + 1);
      assertThat(violations())
          .singleElement()
          .satisfies(
              violation ->
                  assertThat(violation.text())
                      .startsWith(LastingTaskRule.LOST + " cut beside TERMINATION of node-1")
                      .contains("CUT after 201 ms"));
    }

    @Test
    public void should_count_the_long_requests_whether_they_were_cut_or_not() {
      cut(SIGNAL_MS, SLACK_MS);
      cut(SIGNAL_MS, SLACK_MS + 1);
      exchanges.add(exchange(NODE, SIGNAL_MS, SLACK_MS + 1, Exchange.End.ANSWERED));
      assertThat(new CutRequestRule(work, faults).judged(exchanges)).isEqualTo(2);
    }

    @Test
    public void should_accept_a_connection_that_ended_within_the_slack() {
      cut(SIGNAL_MS + 3_000, SLACK_MS);
      assertThat(violations()).isEmpty();
    }

    @Test
    public void should_report_a_request_that_was_sent_before_the_signal() {
      cut(SIGNAL_MS - 1_000, 1_000);
      assertThat(violations()).hasSize(1);
      cut(SIGNAL_MS - 1_000, 999);
      assertThat(violations()).hasSize(1);
    }

    @Test
    public void should_judge_until_a_second_after_the_grace_period() {
      long endMs = SIGNAL_MS + PlannedWork.GRACE_MS + 1_000;
      cut(endMs - 500, 500);
      assertThat(violations()).hasSize(1);
      cut(endMs - 500, 501);
      assertThat(violations()).hasSize(1);
    }

    @Test
    public void should_not_report_responses_refusals_and_requests_that_the_caller_gave_up() {
      for (Exchange.End end :
          List.of(Exchange.End.ANSWERED, Exchange.End.TIMED_OUT, Exchange.End.NOT_SENT)) {
        exchanges.add(exchange(NODE, SIGNAL_MS, 1_000, end));
      }
      cut(SIGNAL_MS, Exchange.DEADLINE_MS);
      assertThat(violations()).isEmpty();
    }

    @Test
    public void should_not_report_a_request_to_another_node() {
      exchanges.add(exchange(NODE + 1, SIGNAL_MS, 1_000, Exchange.End.CUT));
      assertThat(violations()).isEmpty();
    }

    @Test
    public void should_excuse_a_request_beside_an_impairment_but_not_beside_planned_work() {
      cut(SIGNAL_MS + 3_000, 500);
      faults.add(FaultScope.ofPlannedStop(NODE + 1), SIGNAL_MS, SIGNAL_MS + 7_000);
      faults.add(FaultScope.ofOthers(), 0, SIGNAL_MS + 3_000 - FaultTimeline.CONTACT_MS - 1);
      faults.add(FaultScope.ofOthers(), SIGNAL_MS + 3_501, SIGNAL_MS + 4_000);
      assertThat(violations()).hasSize(1);
      faults.add(FaultScope.ofOthers(), SIGNAL_MS - 1, SIGNAL_MS);
      assertThat(violations()).isEmpty();
    }
  }

  /** Tests of requests to a node that is told that its settings changed. */
  public static class Hangup extends CutRequestRuleTest {
    @BeforeMethod
    public void hangUp() {
      work.hungUp(NODE, SIGNAL_MS);
    }

    @Test
    public void should_report_a_request_that_was_sent_up_to_the_bound_and_cut_after_the_signal() {
      cut(SIGNAL_MS - 500, 500);
      cut(SIGNAL_MS + PlannedWork.CONFIG_APPLY_MS, 2_999);
      assertThat(violations()).hasSize(2);
    }

    @Test
    public void should_not_report_one_that_was_cut_before_or_sent_later() {
      cut(SIGNAL_MS - 500, 499);
      cut(SIGNAL_MS + PlannedWork.CONFIG_APPLY_MS + 1, 500);
      assertThat(violations()).isEmpty();
    }
  }

  /** Tests of requests to any node beside a configuration. */
  public static class Configuration extends CutRequestRuleTest {
    private static final long ACK_MS = SIGNAL_MS + 100;
    private static final long LAST_MS = ACK_MS + PlannedWork.CONFIG_APPLY_MS + 1_000;

    @BeforeMethod
    public void configure() {
      work.configured(SIGNAL_MS, ACK_MS);
    }

    @Test
    public void should_report_a_request_that_is_cut_from_the_sending_to_the_bound() {
      cut(SIGNAL_MS - 500, 500);
      cut(LAST_MS - 500, 500);
      assertThat(violations()).hasSize(2);
    }

    @Test
    public void should_not_report_one_that_is_cut_at_other_times() {
      cut(SIGNAL_MS - 500, 499);
      cut(LAST_MS - 500, 501);
      assertThat(violations()).isEmpty();
    }

    @Test
    public void should_excuse_a_request_that_has_used_most_of_its_time() {
      cut(SIGNAL_MS, 2_100);
      assertThat(violations()).isEmpty();
      cut(SIGNAL_MS, 2_099);
      assertThat(violations()).hasSize(1);
    }

    @Test
    public void should_report_only_if_the_node_cuts_over_three_times_as_often_as_at_other_times() {
      answered(SIGNAL_MS, 1);
      cut(SIGNAL_MS, 500);
      answered(SIGNAL_MS + 60_000, 5);
      cut(SIGNAL_MS + 60_000, 500);
      assertThat(violations()).isEmpty();
      answered(SIGNAL_MS + 60_000, 1);
      assertThat(violations()).hasSize(1);
    }

    private void answered(long sentMs, int count) {
      for (int i = 0; i < count; i++) {
        exchanges.add(exchange(NODE, sentMs, 5, Exchange.End.ANSWERED));
      }
    }
  }
}
