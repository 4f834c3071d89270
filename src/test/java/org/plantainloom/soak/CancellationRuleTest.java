package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainloom.platform.standin.ObservedRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the soak's rule for cancelled jobs reports, and what it excuses. */
public class CancellationRuleTest {
  static final String JOB = "00000000000000aa";
  static final int OWNER = 2;
  static final long TERM = 7;
  static final long ACK_MS = 50_000;

  /** The first start that is too late. */
  static final long LATE_MS = ACK_MS + CancellationRule.BOUND_MS + 1;

  final AtomicLong nowMs = new AtomicLong();
  RunHistory history;
  FaultTimeline faults;
  SoakJob job;

  @BeforeMethod
  public void setUp() {
    history = new RunHistory(nowMs::get);
    faults = new FaultTimeline();
    job = new SoakJob(JOB, 1, 4, 1_000, false, 500);
  }

  void acknowledge(int status) {
    job.acknowledgeCancellation(new Acknowledgement(ACK_MS, 0, status, "accepted"));
  }

  static ObservedRun run(boolean delayed) {
    return new ObservedRun(JOB + ".0.0.1", 1, "i-3", "zone-1", 0, TERM, delayed);
  }

  void start(long atMs, boolean delayed) {
    nowMs.set(atMs);
    history.started(run(delayed), "work");
  }

  void end(long atMs, boolean delayed) {
    nowMs.set(atMs);
    history.ended(run(delayed), "stopped");
  }

  CancellationRule rule() {
    return new CancellationRule(
        List.of(job), faults, term -> term == TERM ? OptionalInt.of(OWNER) : OptionalInt.empty());
  }

  List<Violation> lateStarts() {
    return rule().lateStarts(history.entries());
  }

  List<Violation> lateStops(long judgedUntilMs) {
    return rule().lateStops(history.entries(), judgedUntilMs);
  }

  /** Tests of starts. */
  public static class Starts extends CancellationRuleTest {
    @Test
    public void should_report_a_start_after_the_bound_with_task_owner_and_times() {
      acknowledge(200);
      start(LATE_MS, false);
      assertThat(lateStarts())
          .singleElement()
          .satisfies(
              violation -> {
                assertThat(violation.atMs()).isEqualTo(LATE_MS);
                assertThat(violation.text())
                    .startsWith(CancellationRule.UNASKED)
                    .contains(JOB + ".0.0.1 run 1 on i-3", "node-2 (term 7)")
                    .contains("acknowledged with 200 by node-0 at " + Violation.wallMs(ACK_MS));
              });
    }

    @Test
    public void should_report_a_start_after_an_acknowledgement_that_no_such_job_exists() {
      acknowledge(410);
      start(LATE_MS, false);
      assertThat(lateStarts()).hasSize(1);
    }

    @Test
    public void should_accept_starts_up_to_the_bound_and_of_jobs_that_are_not_cancelled() {
      start(LATE_MS, false);
      assertThat(lateStarts()).isEmpty();
      acknowledge(200);
      start(LATE_MS - 1, false);
      assertThat(rule().lateStarts(history.entries().subList(1, 2))).isEmpty();
    }

    @Test
    public void should_excuse_a_start_that_the_worker_carried_out_late() {
      acknowledge(200);
      start(LATE_MS, true);
      assertThat(lateStarts()).isEmpty();
    }

    @Test
    public void should_excuse_nothing_after_the_longest_excuse() {
      acknowledge(200);
      start(LATE_MS, true);
      long sinceAckMs = LATE_MS - ACK_MS;
      assertThat(rule().lateStarts(history.entries(), sinceAckMs)).isEmpty();
      assertThat(rule().lateStarts(history.entries(), sinceAckMs - 1)).hasSize(1);
    }

    @Test
    public void should_excuse_an_owner_within_the_contact_time_after_its_fault_only() {
      acknowledge(200);
      start(LATE_MS, false);
      long contactMs = LATE_MS - FaultTimeline.CONTACT_MS;
      faults.add(FaultScope.ofNode(OWNER), 0, contactMs - 1);
      faults.add(FaultScope.ofStore(), 0, contactMs - 1);
      faults.add(FaultScope.ofNode(OWNER), LATE_MS + 1, LATE_MS + 9);
      assertThat(lateStarts()).hasSize(1);
      faults.add(FaultScope.ofNode(OWNER), contactMs - 1, contactMs);
      assertThat(lateStarts()).isEmpty();
    }

    @Test
    public void should_excuse_all_nodes_while_the_store_is_impaired() {
      acknowledge(200);
      start(LATE_MS, false);
      faults.add(FaultScope.ofStore(), LATE_MS, LATE_MS + 1);
      assertThat(lateStarts()).isEmpty();
    }

    @Test
    public void should_not_excuse_an_owner_for_faults_of_other_nodes_workers_and_links() {
      acknowledge(200);
      start(LATE_MS, false);
      faults.add(FaultScope.ofNode(OWNER + 1), 0, LATE_MS);
      faults.add(FaultScope.ofOthers(), 0, LATE_MS);
      faults.add(heldLink(OWNER, 2), 0, LATE_MS);
      faults.add(heldLink(OWNER + 1, 3), 0, LATE_MS);
      assertThat(lateStarts()).hasSize(1);
      faults.add(heldLink(OWNER, 3), 0, LATE_MS);
      assertThat(lateStarts()).isEmpty();
    }

    @Test
    public void should_not_excuse_a_node_that_is_not_known() {
      acknowledge(200);
      start(LATE_MS, false);
      faults.add(FaultScope.ofNode(OWNER), 0, LATE_MS);
      CancellationRule rule =
          new CancellationRule(List.of(job), faults, term -> OptionalInt.empty());
      assertThat(rule.lateStarts(history.entries())).hasSize(1);
    }

    private static FaultScope heldLink(int node, int worker) {
      return new FaultScope(false, Set.of(), Set.of(new FaultScope.Link(node, worker)));
    }
  }

  /** Tests of runs that go on. */
  public static class Stops extends CancellationRuleTest {
    private static final long GONE_MS =
        ACK_MS + CancellationRule.BOUND_MS + CancellationRule.STOP_GRACE_MS;

    @Test
    public void should_report_a_run_that_goes_on_in_calm() {
      acknowledge(200);
      start(ACK_MS - 1_000, false);
      end(GONE_MS + 1, false);
      assertThat(lateStops(GONE_MS + 1)).hasSize(1);
    }

    @Test
    public void should_report_a_run_that_never_ends() {
      acknowledge(410);
      start(ACK_MS - 1_000, false);
      assertThat(lateStops(GONE_MS + 1)).hasSize(1);
    }

    @Test
    public void should_accept_a_run_that_ends_in_time() {
      acknowledge(200);
      start(ACK_MS - 1_000, false);
      end(GONE_MS, false);
      assertThat(lateStops(GONE_MS + 60_000)).isEmpty();
    }

    @Test
    public void should_count_anew_after_a_fault() {
      acknowledge(200);
      start(ACK_MS - 1_000, false);
      faults.add(FaultScope.ofOthers(), ACK_MS + 2_000, ACK_MS + 2_100);
      end(GONE_MS + 5_000, false);
      assertThat(lateStops(GONE_MS + 5_000)).isEmpty();
      start(ACK_MS + 2_200, false);
      end(GONE_MS + 5_300, false);
      assertThat(lateStops(GONE_MS + 60_000)).hasSize(1);
    }

    @Test
    public void should_count_from_contact_after_a_start_that_was_carried_out_late() {
      acknowledge(200);
      long dueMs = ACK_MS + 4_000 + FaultTimeline.CONTACT_MS;
      start(ACK_MS + 4_000, true);
      end(dueMs + GONE_MS - ACK_MS, true);
      assertThat(lateStops(GONE_MS + 60_000)).isEmpty();
      start(ACK_MS + 4_000, true);
      assertThat(lateStops(GONE_MS + 60_000)).hasSize(1);
    }
  }
}
