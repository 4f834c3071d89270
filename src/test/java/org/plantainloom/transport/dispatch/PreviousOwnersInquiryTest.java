package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.transport.duty.EventLoop;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how a new owner finds out when the owners before it have stopped. */
public class PreviousOwnersInquiryTest {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_S = 30;

  private static final OwnerRecord FIRST = new OwnerRecord("a", "127.0.0.1:1", 1);
  private static final OwnerRecord SECOND = new OwnerRecord("b", "127.0.0.1:2", 2);

  /** Nodes that answer only once they are up. */
  private static final class Peers implements OwnerPeers {
    final Map<OwnerRecord, Long> idleMs = new ConcurrentHashMap<>();
    final BlockingQueue<OwnerRecord> asked = new LinkedBlockingQueue<>();

    @Override
    public CompletableFuture<Optional<Long>> stopOwnership(OwnerRecord owner, long term) {
      asked.add(owner);
      return CompletableFuture.completedFuture(Optional.ofNullable(idleMs.get(owner)));
    }
  }

  /** Asking the owners. */
  public static class Asking {
    @Test
    public void should_ask_again_until_each_previous_owner_has_stopped() throws Exception {
      // given: one has stopped, the other does not answer
      Peers peers = new Peers();
      peers.idleMs.put(FIRST, 50L);
      BlockingQueue<Long> stopped = new LinkedBlockingQueue<>();
      try (EventLoop loop = EventLoop.start("test", 10, () -> {})) {
        // when
        loop.execute(() -> inquiry(peers, loop, List.of(FIRST, SECOND), stopped).start());
        List<OwnerRecord> asked = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          asked.add(peers.asked.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        }
        // then
        assertThat(asked).containsExactly(FIRST, SECOND, SECOND, SECOND);
        assertThat(stopped).isEmpty();
        peers.idleMs.put(SECOND, 0L);
        assertThat(stopped.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)).isNotNull();
      }
    }

    @Test
    public void should_report_the_time_of_the_one_that_stopped_last() throws Exception {
      // given
      Peers peers = new Peers();
      peers.idleMs.put(FIRST, 7_200_000L);
      peers.idleMs.put(SECOND, 3_600_000L);
      // An hour by a clock that runs 2 % fast, on one that runs 2 % slow.
      long shortestIdleMs = 3_458_823L;
      BlockingQueue<Long> stopped = new LinkedBlockingQueue<>();
      long beforeMs = NodeContext.nowMs();
      try (EventLoop loop = EventLoop.start("test", 10, () -> {})) {
        // when
        loop.execute(() -> inquiry(peers, loop, List.of(FIRST, SECOND), stopped).start());
        // then
        assertThat(stopped.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS))
            .isBetween(beforeMs - shortestIdleMs, NodeContext.nowMs() - shortestIdleMs);
      }
    }

    private static PreviousOwnersInquiry inquiry(
        Peers peers, EventLoop loop, List<OwnerRecord> owners, BlockingQueue<Long> stopped) {
      return new PreviousOwnersInquiry(
          peers, loop, (delay, action) -> loop.execute(action), 3, 0, owners, stopped::add);
    }
  }

  /** The stored list of owners. */
  public static class StoredList {
    @Test
    public void should_list_each_owner_until_its_leases_are_over() {
      // given
      UnsettledOwners afterFirst = UnsettledOwners.withSuccessor(Optional.of(List.of()), FIRST);
      // when
      UnsettledOwners afterSecond = UnsettledOwners.withSuccessor(afterFirst.ownersUpTo(1), SECOND);
      // then
      assertThat(afterSecond.ownersUpTo(2)).hasValue(List.of(FIRST, SECOND));
      assertThat(UnsettledOwners.settled(SECOND).ownersUpTo(2)).hasValue(List.of(SECOND));
    }

    @Test
    public void should_list_a_node_once_that_owns_the_workers_again() {
      // given
      OwnerRecord again = new OwnerRecord(FIRST.node(), FIRST.address(), 3);
      // when
      UnsettledOwners owners =
          UnsettledOwners.withSuccessor(Optional.of(List.of(FIRST, SECOND)), again);
      // then
      assertThat(owners.ownersUpTo(3)).hasValue(List.of(SECOND, again));
    }

    @Test(dataProvider = "damagedLists")
    public void should_reject_a_damaged_list(String text) {
      // then
      assertThatExceptionOfType(MalformedMessageException.class)
          .isThrownBy(() -> Json.read(text, UnsettledOwners.class));
    }

    @DataProvider
    public static Object[][] damagedLists() {
      return new Object[][] {
        {""},
        {"null"},
        {"[]"},
        {"{\"term\":1,\"complete\":true}"},
        {"{\"term\":1.5,\"complete\":true,\"owners\":[]}"},
        {"{\"term\":1e400,\"complete\":true,\"owners\":[]}"},
        {"{\"term\":1,\"complete\":true,\"owners\":[null]}"},
        {"{\"term\":1,\"complete\":true,\"owners\":[{\"node\":\"a\",\"term\":1}]}"},
        {"[".repeat(5_000)}
      };
    }

    @Test
    public void should_name_no_owners_if_one_of_an_older_release_is_missing() {
      // given: an owner between the first and the third wrote no list
      UnsettledOwners afterFirst = UnsettledOwners.withSuccessor(Optional.of(List.of()), FIRST);
      // when
      UnsettledOwners afterThird =
          UnsettledOwners.withSuccessor(
              afterFirst.ownersUpTo(2), new OwnerRecord("c", "127.0.0.1:3", 3));
      // then
      assertThat(afterThird.ownersUpTo(3)).isEmpty();
    }
  }
}
