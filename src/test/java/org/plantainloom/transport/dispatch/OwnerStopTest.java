package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.plantainloom.transport.dispatch.OneWorkerFixture.Poll;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what a node sends before it has read the jobs, and after a newer owner has asked it to
 * stop.
 */
public class OwnerStopTest {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_S = 30;

  private static final long WORKER_CLOCK_MS = 5_000;

  private OneWorkerFixture fixture;
  private Node node;

  /** Starts a node that never gets to read the jobs. */
  @BeforeMethod
  public void start() {
    fixture = new OneWorkerFixture();
    fixture.store.jobsReadable = false;
    node = fixture.start();
  }

  /** Stops it. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    fixture.close();
  }

  private Poll nextPoll() throws InterruptedException {
    return fixture.workers.polls.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Test
  public void should_renew_the_lease_of_a_worker_that_answers_before_the_jobs_are_read()
      throws Exception {
    // given
    Poll first = nextPoll();
    assertThat(first.leaseUntilMs()).isEmpty();
    // when
    long answeredMs = NodeContext.nowMs();
    first.answer(WORKER_CLOCK_MS);
    // then: it is renewed for the whole lease, by the worker's clock as it has gone on since
    long leaseMs = nextPoll().leaseUntilMs().orElseThrow() - WORKER_CLOCK_MS;
    long elapsedMs = NodeContext.nowMs() - answeredMs;
    assertThat(leaseMs).isBetween(OneWorkerFixture.LEASE_MS, OneWorkerFixture.LEASE_MS + elapsedMs);
  }

  @Test
  public void should_renew_no_lease_after_it_has_said_that_it_stopped() throws Exception {
    // given
    Poll first = nextPoll();
    assertThat(node.stopOwnership(2).join()).isNotNegative();
    // when: the answer to a poll from before arrives
    first.answer(WORKER_CLOCK_MS);
    // then: a second request is answered after everything that the answer led to
    assertThat(node.stopOwnership(2).join()).isNotNegative();
    assertThat(fixture.workers.polls).isEmpty();
  }
}
