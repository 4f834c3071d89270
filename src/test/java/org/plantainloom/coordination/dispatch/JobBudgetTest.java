package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.job;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.serving;
import static org.plantainloom.coordination.dispatch.DispatcherSimulation.tasks;

import java.util.List;
import org.plantainloom.state.job.JobSpec;
import org.testng.annotations.Test;

/** Tests how much of the budget jobs take. */
public class JobBudgetTest {
  private static final long HEAP = 64L << 20;
  private static final JobBudget BUDGET = JobBudget.ofHeap(HEAP);
  private static final String ID = "00000000000000aa";

  private static JobSpec scheduled(int times) {
    return new JobSpec(ID, "urgent", "text", List.of(tasks(1, 500)), 0, 1_000, 60_000, times);
  }

  private static JobSpec withPayload(int length) {
    return new JobSpec(ID, "urgent", "x".repeat(length), List.of(tasks(1, 500)), 0, 0, 0, 0);
  }

  @Test
  public void should_have_room_for_more_than_a_thousand_jobs_of_the_usual_size() {
    JobSpec usual = job(ID, "urgent", tasks(8, 500), tasks(8, 500, 0));
    assertThat(1_000 * JobBudget.bytesNeeded(usual)).isLessThan(BUDGET.bytes());
  }

  @Test
  public void should_have_room_for_fourteen_schedules_of_a_week() {
    assertThat(14 * JobBudget.bytesNeeded(scheduled(10_080))).isLessThan(BUDGET.bytes() / 10);
  }

  @Test
  public void should_count_large_payloads_by_their_size() {
    assertThat(JobBudget.bytesNeeded(withPayload(4_000)))
        .isGreaterThanOrEqualTo(JobBudget.bytesNeeded(withPayload(0)) + 2 * 4_000);
  }

  @Test
  public void should_count_each_task_that_lasts() {
    assertThat(JobBudget.bytesNeeded(job(ID, "urgent", serving(10_000, 500, ""))))
        .isGreaterThan(5 * JobBudget.bytesNeeded(job(ID, "urgent", tasks(10_000, 500))));
  }

  @Test
  public void should_leave_nothing_when_accepted_jobs_need_more() {
    assertThat(BUDGET.bytesLeft(BUDGET.bytes() + 1)).isZero();
    assertThat(BUDGET.bytesLeft(0)).isEqualTo(BUDGET.bytes());
  }
}
