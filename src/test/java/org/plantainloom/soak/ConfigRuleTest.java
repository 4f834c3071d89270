package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.plantainloom.platform.standin.ObservedRun;
import org.testng.annotations.Test;

/** Tests that the rule on configurations finds violations, and what it excuses. */
public class ConfigRuleTest {
  private static final long ACK_MS = 10_000;
  private static final long IN_FORCE_MS = ACK_MS + ConfigRule.APPLY_MS + 1;
  private static final String QUEUE = "queue-1";

  /** Versions and faults; the first version has no queue. */
  private static final class Scenario {
    private final List<ConfigVersion> versions = new ArrayList<>();
    private final FaultTimeline timeline = new FaultTimeline();

    Scenario() {
      add(1, 1, Map.of());
    }

    void add(int version, long ackMs, Map<String, String> services) {
      versions.add(new ConfigVersion(version, ackMs - 1, ackMs, services));
    }

    ConfigRule rule() {
      return new ConfigRule(versions, timeline);
    }
  }

  private static QueueExchange answer(long sentMs, int status, int life) {
    return new QueueExchange(
        QUEUE,
        life,
        new Exchange(0, "GET", "", sentMs, sentMs + 5, Exchange.End.ANSWERED, status, ""));
  }

  /** A version that is in force. */
  public static class InForce {
    @Test
    public void should_find_a_new_queue_that_is_denied() {
      Scenario added = new Scenario();
      added.add(2, ACK_MS, Map.of(QUEUE, "a"));
      assertThat(added.rule().notInForce(List.of(answer(IN_FORCE_MS, 404, 1)))).hasSize(1);
    }

    @Test
    public void should_find_a_dropped_queue_that_is_served() {
      Scenario dropped = new Scenario();
      dropped.add(2, 5_000, Map.of(QUEUE, "a"));
      dropped.add(3, ACK_MS, Map.of());
      assertThat(dropped.rule().notInForce(List.of(answer(IN_FORCE_MS, 200, 1)))).hasSize(1);
    }

    @Test
    public void should_allow_both_until_the_bound_and_excuse_nodes_out_of_touch() {
      Scenario added = new Scenario();
      added.add(2, ACK_MS, Map.of(QUEUE, "a"));
      assertThat(added.rule().notInForce(List.of(answer(IN_FORCE_MS - 1, 404, 1)))).isEmpty();
      assertThat(added.rule().notInForce(List.of(answer(IN_FORCE_MS, 503, 1)))).isEmpty();
      added.timeline.add(FaultScope.ofNode(0), IN_FORCE_MS - 2_900, IN_FORCE_MS - 2_900);
      assertThat(added.rule().notInForce(List.of(answer(IN_FORCE_MS, 404, 1)))).isEmpty();
      assertThat(added.rule().notInForce(List.of(answer(IN_FORCE_MS + 200, 404, 1)))).hasSize(1);
    }

    @Test
    public void should_find_a_start_at_the_service_of_an_older_version() {
      Scenario retargeted = new Scenario();
      retargeted.add(2, 5_000, Map.of(QUEUE, "a"));
      retargeted.add(3, ACK_MS, Map.of(QUEUE, "b"));
      Map<String, ConfigRule.Submission> submissions =
          Map.of("00000000000000aa", new ConfigRule.Submission(QUEUE, IN_FORCE_MS));
      List<RunHistory.Entry> runs =
          List.of(
              new RunHistory.Entry(
                  new ObservedRun("00000000000000aa.0.0.0", 1, "i-0", "z", 0, 7, false),
                  IN_FORCE_MS + 10,
                  OptionalLong.empty(),
                  "running"));
      assertThat(
              retargeted
                  .rule()
                  .startedElsewhere(runs, submissions, id -> "a", term -> OptionalInt.of(0)))
          .hasSize(1);
      assertThat(
              retargeted
                  .rule()
                  .startedElsewhere(runs, submissions, id -> "b", term -> OptionalInt.of(0)))
          .isEmpty();
    }
  }

  /** A version that a node has shown. */
  public static class Shown {
    @Test
    public void should_find_a_node_that_denies_a_queue_which_it_has_served() {
      Scenario added = new Scenario();
      added.add(2, ACK_MS, Map.of(QUEUE, "a"));
      QueueExchange served = answer(ACK_MS + 10, 200, 1);
      // In neither case is the version in force, nor need the node be in touch.
      added.timeline.add(FaultScope.ofNode(0), 0, ACK_MS + 5_000);
      assertThat(added.rule().wentBack(List.of(served, answer(ACK_MS + 300, 404, 1)))).hasSize(1);
      assertThat(added.rule().wentBack(List.of(served, answer(ACK_MS + 200, 404, 1)))).isEmpty();
      assertThat(added.rule().wentBack(List.of(served, answer(ACK_MS + 300, 404, 2)))).isEmpty();
    }
  }
}
