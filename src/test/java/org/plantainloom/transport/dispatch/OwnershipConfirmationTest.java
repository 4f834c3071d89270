package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.transport.dispatch.OneWorkerFixture.Poll;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an owner does at its workers while the store does not answer it. */
public class OwnershipConfirmationTest {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_MS = 30_000;

  private OneWorkerFixture fixture;
  private Node node;

  /** Starts a node, which becomes the owner. */
  @BeforeMethod
  public void start() throws InterruptedException {
    fixture = new OneWorkerFixture();
    node = fixture.start();
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isPresent())).isTrue();
  }

  /** Stops it. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    fixture.close();
  }

  /** Answers polls until one of them meets a condition; returns whether one did. */
  private boolean awaitPoll(Predicate<Poll> condition) throws InterruptedException {
    long deadlineMs = NodeContext.nowMs() + AWAIT_TIMEOUT_MS;
    while (NodeContext.nowMs() < deadlineMs) {
      Poll poll = fixture.workers.polls.poll(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      if (poll == null) {
        return false;
      }
      boolean met = condition.test(poll);
      // A worker without news lets a poll wait.
      Thread.sleep(10);
      poll.answer(NodeContext.nowMs());
      if (met) {
        return true;
      }
    }
    return false;
  }

  private boolean awaitOwnerAddress(Optional<String> expected) throws InterruptedException {
    long deadlineMs = NodeContext.nowMs() + AWAIT_TIMEOUT_MS;
    while (!node.ownerAddress().equals(expected)) {
      if (NodeContext.nowMs() > deadlineMs) {
        return false;
      }
      Thread.sleep(10);
    }
    return true;
  }

  /** Regression (review/1): an owner that was cut off went on renewing leases without a bound. */
  @Test
  public void should_renew_no_lease_while_the_store_does_not_confirm_the_ownership()
      throws Exception {
    // when
    fixture.store.answering = false;
    // then: it still asks the worker what it runs
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    // and renews again once the store has confirmed that it is still the owner
    fixture.store.answering = true;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isPresent())).isTrue();
  }

  /** A key that is renewed without replies would keep other nodes from becoming the owner. */
  @Test
  public void should_let_its_key_expire_while_it_gets_no_replies() throws Exception {
    // given
    fixture.store.answering = false;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    int renewals = fixture.store.renewals.get();
    // when: it goes on asking the worker
    for (int i = 0; i < 20; i++) {
      assertThat(awaitPoll(poll -> true)).isTrue();
    }
    // then
    assertThat(fixture.store.renewals).hasValue(renewals);
  }

  @Test
  public void should_end_the_ownership_if_the_key_was_replaced_meanwhile() throws Exception {
    // given
    fixture.store.answering = false;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    // when
    OwnerRecord successor = new OwnerRecord("b", "127.0.0.1:2", 2);
    fixture.store.ownerKey =
        Optional.of(
            new StoreItem(
                StoreKeys.OWNER, Json.write(successor), OneWorkerFixture.CLAIM_REVISION + 5));
    fixture.store.acceptsClaims = false;
    fixture.store.answering = true;
    // then
    assertThat(awaitOwnerAddress(Optional.of("127.0.0.1:2"))).isTrue();
  }

  /** Regression: an owner whose key was removed early went on, as its lease could be renewed. */
  @Test
  public void should_end_the_ownership_if_the_key_was_removed_while_renewals_are_answered()
      throws Exception {
    // when: the watch of the key tells nothing
    fixture.store.acceptsClaims = false;
    fixture.store.ownerKey = Optional.empty();
    // then
    assertThat(awaitOwnerAddress(Optional.empty())).isTrue();
  }

  /** The store may remove the key of an owner that it cannot reach before the lease ends. */
  @Test
  public void should_end_the_ownership_if_the_key_was_removed_although_the_lease_holds()
      throws Exception {
    // given
    fixture.store.answering = false;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    // when
    fixture.store.ownerKey = Optional.empty();
    fixture.store.acceptsClaims = false;
    fixture.store.answering = true;
    // then
    assertThat(awaitOwnerAddress(Optional.empty())).isTrue();
  }
}
