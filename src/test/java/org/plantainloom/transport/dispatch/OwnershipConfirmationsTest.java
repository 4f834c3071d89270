package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.coordination.dispatch.OwnerClocks;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.support.UnsupportedStore;
import org.plantainloom.transport.duty.EventLoop;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the confirmations of an ownership while replies of the store are lost or late. */
public class OwnershipConfirmationsTest {
  private static final long AWAIT_TIMEOUT_S = 30;
  private static final long TERM = 4;
  private static final long CLAIM_REVISION = 20;
  private static final long INTERVAL_MS = OwnershipLease.CONFIRM_INTERVAL_MS;

  /** All moments lie in the past, as stored ones do. */
  private static final long CLAIM_MS = NodeContext.nowMs() - 60_000;

  private static final long WALL_MS = 1_700_000_000_000L;

  private final Store store = new Store();
  private final List<Optional<StoreItem>> changes = new CopyOnWriteArrayList<>();
  private OwnershipLease lease;
  private OwnershipConfirmations confirmations;
  private EventLoop eventLoop;

  /** Starts with the claim of an owner. */
  @BeforeMethod
  public void start() {
    store.commits.clear();
    changes.clear();
    eventLoop = EventLoop.start("confirmations", 1_000, () -> {});
    lease = new OwnershipLease();
    OwnerRecord record = new OwnerRecord("a", "127.0.0.1:1", TERM);
    Ownership ownership =
        new Ownership(
            record,
            1,
            CLAIM_REVISION,
            Optional.empty(),
            lease,
            Optional.empty(),
            new OwnerClocks());
    NodeContext node =
        new NodeContext(
            "a",
            "127.0.0.1:1",
            1,
            store,
            null,
            null,
            null,
            DispatchPolicy.of(6_000, 400),
            new MetricRegistry(),
            NodeContext.nowMs());
    confirmations =
        new OwnershipConfirmations(node, eventLoop, ownership, CLAIM_REVISION, changes::add);
    onEventLoop(() -> confirmations.begin(new OwnerTime(TERM, CLAIM_MS, WALL_MS), CLAIM_REVISION));
  }

  /** Stops the event loop. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    eventLoop.close();
  }

  private void onEventLoop(Runnable action) {
    CompletableFuture.runAsync(action, eventLoop)
        .orTimeout(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)
        .join();
  }

  private void tick(long afterClaimMs) {
    onEventLoop(() -> confirmations.tick(CLAIM_MS + afterClaimMs, WALL_MS + afterClaimMs));
  }

  private void answer(int index, CommitReply reply) {
    store.commits.get(index).reply().complete(reply);
    onEventLoop(() -> {});
  }

  private boolean isConfirmedAt(long afterClaimMs) {
    return lease.ageMs(CLAIM_MS + afterClaimMs, WALL_MS + afterClaimMs) == 0;
  }

  private static StoreItem ownerKey(long revision) {
    OwnerRecord record = new OwnerRecord("a", "127.0.0.1:1", TERM);
    return new StoreItem(StoreKeys.OWNER, Json.write(record), revision);
  }

  private static StoreItem confirmed(long term, long afterClaimMs, long revision) {
    OwnerTime time = new OwnerTime(term, CLAIM_MS + afterClaimMs, WALL_MS + afterClaimMs);
    return new StoreItem(
        StoreKeys.CONFIRMED,
        Json.write(StoredConfirmation.of(time, List.of(), Long.MAX_VALUE)),
        revision);
  }

  @Test
  public void should_write_when_it_was_sent_and_require_the_one_before() {
    // when
    tick(INTERVAL_MS);
    answer(0, new CommitReply.Committed(31));
    tick(2 * INTERVAL_MS);
    // then
    assertThat(isConfirmedAt(INTERVAL_MS)).isTrue();
    assertThat(store.commits.get(0).transaction().writes())
        .containsEntry(StoreKeys.CONFIRMED, confirmed(TERM, INTERVAL_MS, 31).value());
    assertThat(store.commits)
        .extracting(commit -> commit.transaction().expected().get(StoreKeys.CONFIRMED))
        .containsExactly(CLAIM_REVISION, 31L);
    assertThat(store.commits)
        .allMatch(c -> c.transaction().expected().get(StoreKeys.OWNER) == CLAIM_REVISION);
  }

  @Test
  public void should_send_another_one_while_a_reply_is_missing() {
    // when
    tick(INTERVAL_MS);
    tick(2 * INTERVAL_MS);
    answer(1, new CommitReply.Committed(31));
    // then
    assertThat(isConfirmedAt(2 * INTERVAL_MS)).isTrue();
  }

  @Test
  public void should_go_on_from_a_commit_whose_reply_was_lost() {
    // given
    tick(INTERVAL_MS);
    answer(0, new CommitReply.Unknown("lost"));
    tick(2 * INTERVAL_MS);
    // when
    answer(
        1,
        new CommitReply.Conflict(
            List.of(ownerKey(CLAIM_REVISION), confirmed(TERM, INTERVAL_MS, 33))));
    // then: only what is stored counts
    assertThat(isConfirmedAt(INTERVAL_MS)).isTrue();
    tick(2 * INTERVAL_MS + 25);
    assertThat(store.commits.get(2).transaction().expected())
        .containsEntry(StoreKeys.CONFIRMED, 33L);
    assertThat(changes).isEmpty();
  }

  @Test
  public void should_not_count_a_moment_that_another_owner_has_stored() {
    // given
    tick(INTERVAL_MS);
    // when
    answer(
        0,
        new CommitReply.Conflict(
            List.of(ownerKey(CLAIM_REVISION), confirmed(TERM + 1, INTERVAL_MS, 33))));
    // then
    assertThat(isConfirmedAt(0)).isTrue();
  }

  @Test
  public void should_tell_that_the_key_was_replaced() {
    // given
    tick(INTERVAL_MS);
    // when
    answer(0, new CommitReply.Conflict(List.of(ownerKey(CLAIM_REVISION + 5))));
    // then
    assertThat(changes).containsExactly(Optional.of(ownerKey(CLAIM_REVISION + 5)));
    assertThat(isConfirmedAt(0)).isTrue();
  }

  @Test
  public void should_tell_that_the_key_is_gone() {
    // given
    tick(INTERVAL_MS);
    // when
    answer(0, new CommitReply.Conflict(List.of(confirmed(TERM, 0, CLAIM_REVISION))));
    // then
    assertThat(changes).containsExactly(Optional.empty());
  }

  @Test
  public void should_try_more_often_once_the_owner_does_not_act_any_more() {
    // given: nothing is answered
    tick(INTERVAL_MS);
    tick(2 * INTERVAL_MS);
    assertThat(store.commits).hasSize(2);
    // when
    tick(OwnershipLease.KEY_TTL_MS);
    tick(OwnershipLease.KEY_TTL_MS + 200);
    // then
    assertThat(store.commits).hasSize(4);
  }

  private record Commit(Transaction transaction, CompletableFuture<CommitReply> reply) {}

  /** A store that keeps the commits until the test answers them. */
  private static final class Store extends UnsupportedStore {
    final List<Commit> commits = new ArrayList<>();

    @Override
    public CompletableFuture<CommitReply> commit(Transaction transaction) {
      CompletableFuture<CommitReply> reply = new CompletableFuture<>();
      commits.add(new Commit(transaction, reply));
      return reply;
    }
  }
}
