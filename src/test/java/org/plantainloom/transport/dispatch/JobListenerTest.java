package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests in which order jobs and their cancellations may become known to an owner. */
public class JobListenerTest {
  private static final String ID = "00000000000000aa";
  private static final StoreItem CANCELLATION = new StoreItem(StoreKeys.cancel(ID), "{}", 3);
  private static final StoreItem JOB =
      new StoreItem(
          StoreKeys.job(ID),
          Json.write(
              new JobSpec(
                  ID,
                  "queue",
                  "text",
                  List.of(
                      new PhaseSpec(
                          1,
                          new ResourceVector(500, 64, 0),
                          500,
                          List.of(),
                          false,
                          false,
                          false,
                          "",
                          "",
                          0,
                          false,
                          false,
                          "",
                          0,
                          false,
                          -1)),
                  0,
                  0,
                  0,
                  0)),
          4);

  private Dispatcher dispatcher;
  private JobListener listener;

  /** Starts an owner. */
  @BeforeMethod
  public void start() {
    dispatcher =
        new Dispatcher(
            1,
            DispatchPolicy.of(6_000, 400),
            new OwnershipLease(),
            (event, subject, detail) -> {},
            NodeContext.nowMs());
    listener = new JobListener(dispatcher, () -> {});
  }

  private static StoreEvent event(StoreItem item) {
    return new StoreEvent(item.key(), Optional.of(item.value()), item.revision());
  }

  private void assertNeverRuns() {
    assertThat(dispatcher.openJobCount()).isZero();
    // the final status is told to callers once it is stored
    assertThat(dispatcher.unpersistedProgress().orElseThrow().entries())
        .singleElement()
        .satisfies(entry -> assertThat(entry.progress().status()).isEqualTo(JobStatus.CANCELLED));
  }

  @Test
  public void should_not_run_a_job_that_appears_after_its_cancellation() {
    // given
    listener.onChange(event(CANCELLATION));
    // when
    listener.onChange(event(JOB));
    // then
    assertNeverRuns();
  }

  @Test
  public void should_not_run_a_job_that_appears_after_a_takeover_that_found_its_cancellation() {
    // given
    listener.restoreAll(List.of(CANCELLATION), List.of());
    // when
    listener.onChange(event(JOB));
    // then
    assertNeverRuns();
  }

  @Test
  public void should_not_run_a_job_of_a_snapshot_in_which_its_cancellation_comes_first() {
    // when
    listener.onSnapshot(List.of(CANCELLATION, JOB));
    // then
    assertNeverRuns();
  }

  @Test
  public void should_cancel_a_restored_job_whose_cancellation_comes_first() {
    // when
    listener.restoreAll(List.of(CANCELLATION, JOB), List.of());
    // then
    assertNeverRuns();
  }

  @Test
  public void should_keep_the_keys_of_an_unreadable_job_that_was_cancelled() {
    // when
    listener.restoreAll(List.of(new StoreItem(JOB.key(), "{}", 4), CANCELLATION), List.of());
    // then
    assertThat(dispatcher.unpersistedProgress()).isEmpty();
    assertThat(dispatcher.retireJobs(Long.MAX_VALUE, 10)).isEmpty();
  }
}
