package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.coordination.dispatch.OwnerClocks;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.LeaseReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.TransactionalStore;
import org.plantainloom.state.store.WatchReply;
import org.plantainloom.transport.duty.EventLoop;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests writes of the owner whose replies are lost or that the store carries out late. */
public class ProgressWriterTest {
  private static final long AWAIT_TIMEOUT_S = 30;
  private static final WorkerRegistration WORKER =
      new WorkerRegistration(
          "w", "service", "w:1", "z", false, new ResourceVector(1, 1, 0), List.of(), 7, 1_000);

  private static final PollReply ANSWER =
      new PollReply.Answered(new WorkerSnapshot(1_000, 7, List.of(), List.of()));

  private final BlockingQueue<Runnable> retries = new LinkedBlockingQueue<>();
  private LateStore store;
  private Dispatcher dispatcher;
  private OwnershipConfirmations confirmations;
  private ProgressWriter writer;
  private EventLoop eventLoop;

  /** Starts a writer whose event loop runs in the background. */
  @BeforeMethod
  public void start() {
    store = new LateStore();
    OwnershipLease lease = new OwnershipLease();
    DispatchPolicy policy = DispatchPolicy.of(6_000, 400);
    dispatcher = new Dispatcher(1, policy, lease, (event, subject, detail) -> {}, 0);
    eventLoop = EventLoop.start("writer", 1_000, () -> {});
    retries.clear();
    NodeContext node =
        new NodeContext(
            "a",
            "127.0.0.1:1",
            1,
            store,
            null,
            null,
            null,
            policy,
            new MetricRegistry(),
            NodeContext.nowMs());
    Ownership ownership =
        new Ownership(
            new OwnerRecord("a", "127.0.0.1:1", 1),
            1,
            1,
            Optional.empty(),
            lease,
            Optional.empty(),
            new OwnerClocks());
    confirmations = new OwnershipConfirmations(node, eventLoop, ownership, 0, item -> {});
    confirmations.begin(new OwnerTime(1, NodeContext.nowMs(), NodeContext.wallMs()), 1);
    writer =
        new ProgressWriter(
            node,
            eventLoop,
            (delayMs, action) -> retries.add(action),
            dispatcher,
            ownership,
            confirmations,
            new NoListener(),
            () -> {});
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

  private void persist() {
    onEventLoop(writer::persist);
    onEventLoop(() -> {}); // the reply has been handled
  }

  private void retry() throws InterruptedException {
    onEventLoop(retries.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
    persist();
  }

  @Test
  public void should_not_replace_the_list_of_workers_by_an_older_one_that_is_carried_out_late()
      throws Exception {
    // given: the worker is stored as silent, but the store does not answer and carries it out later
    dispatcher.workerRegistered(WORKER, 0);
    dispatcher.pollAnswered(WORKER, ANSWER, 0, 0);
    persist();
    dispatcher.pollAnswered(WORKER, new PollReply.Unavailable("no answer"), 0, 1);
    store.delaying = true;
    persist();
    store.delaying = false;
    // when: the worker has answered and is stored as reachable before that
    dispatcher.pollAnswered(WORKER, ANSWER, 2, 3);
    retry();
    store.carryOutDelayed();
    // then: the next owner does not take the tasks that were started since for impossible ones
    assertThat(storedMember().possibleTasks()).isEmpty();
  }

  @Test
  public void should_store_the_list_of_workers_again_after_its_own_write_was_not_answered()
      throws Exception {
    // given
    dispatcher.workerRegistered(WORKER, 0);
    store.delaying = true;
    persist();
    store.delaying = false;
    store.carryOutDelayed();
    // when
    retry(); // conflicts with the write that was not answered
    retry();
    // then
    assertThat(storedMember().entry().id()).isEqualTo("w");
    assertThat(dispatcher.unpersistedFleet()).isEmpty();
  }

  private FleetMember storedMember() {
    return StoredFleet.parse(
            store.values.get(StoreKeys.FLEET), time -> OptionalLong.of(time.monotonicMs()))
        .members()
        .get(0);
  }

  /** A store that checks the required revisions, also of transactions that it delays. */
  private static final class LateStore implements TransactionalStore {
    final Map<String, String> values = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>(Map.of(StoreKeys.OWNER, 1L));
    private final List<Transaction> delayed = new ArrayList<>();
    volatile boolean delaying;
    private long revision = 1;

    @Override
    public CompletableFuture<CommitReply> commit(Transaction transaction) {
      if (delaying) {
        delayed.add(transaction);
        return CompletableFuture.completedFuture(new CommitReply.Unknown("no reply"));
      }
      return CompletableFuture.completedFuture(carryOut(transaction));
    }

    void carryOutDelayed() {
      delayed.forEach(this::carryOut);
      delayed.clear();
    }

    private CommitReply carryOut(Transaction transaction) {
      boolean holds =
          transaction.expected().entrySet().stream()
              .allMatch(e -> revisions.getOrDefault(e.getKey(), 0L).equals(e.getValue()));
      if (!holds) {
        return new CommitReply.Conflict(
            transaction.expected().keySet().stream()
                .filter(revisions::containsKey)
                .map(key -> new StoreItem(key, values.getOrDefault(key, ""), revisions.get(key)))
                .toList());
      }
      revision++;
      transaction
          .writes()
          .forEach(
              (key, value) -> {
                values.put(key, value);
                revisions.put(key, revision);
              });
      return new CommitReply.Committed(revision);
    }

    @Override
    public CompletableFuture<ReadReply> read(String key) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReadReply> list(String prefix) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<LeaseReply> grantLease(long ttlMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<LeaseReply> renewLease(long leaseId) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<LeaseReply> endLease(long leaseId) {
      return new CompletableFuture<>();
    }
  }

  private static final class NoListener implements ProgressWriter.ListListener {
    @Override
    public void onFirstSent() {}

    @Override
    public void onStored() {}
  }
}
