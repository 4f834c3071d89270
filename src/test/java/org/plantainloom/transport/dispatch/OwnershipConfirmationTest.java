package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.StartTaskCommand;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.TaskWorkers;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.LeaseReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.TransactionalStore;
import org.plantainloom.state.store.WatchReply;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an owner does at its workers while the store does not answer it. */
public class OwnershipConfirmationTest {
  private static final WorkerRegistration WORKER =
      new WorkerRegistration(
          "w", "service", "w:1", "z", false, new ResourceVector(1, 1, 0), List.of(), 7, 1_000);

  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_MS = 30_000;

  private static final long CLAIM_REVISION = 2;

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }

  /** A store that can stop answering, and whose owner key another node may have replaced. */
  private static final class Store implements TransactionalStore {
    volatile boolean answering = true;
    volatile boolean acceptsClaims = true;
    volatile Optional<StoreItem> ownerKey = Optional.empty();
    final AtomicInteger renewals = new AtomicInteger();

    private <T> CompletableFuture<T> reply(T value) {
      return answering ? done(value) : new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReadReply> read(String key) {
      List<StoreItem> items =
          key.equals(StoreKeys.OWNER) ? ownerKey.stream().toList() : List.<StoreItem>of();
      return reply(new ReadReply.Found(items, 1));
    }

    @Override
    public CompletableFuture<ReadReply> list(String prefix) {
      List<StoreItem> items =
          prefix.equals("servers/") ? List.of(new StoreItem("servers/w", "", 1)) : List.of();
      return done(new ReadReply.Found(items, 1));
    }

    @Override
    public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommitReply> commit(Transaction transaction) {
      String claim = transaction.writes().get(StoreKeys.OWNER);
      if (claim == null) {
        return reply(new CommitReply.Committed(CLAIM_REVISION + 1));
      }
      if (!acceptsClaims) {
        return reply(new CommitReply.Conflict(List.of()));
      }
      ownerKey = Optional.of(new StoreItem(StoreKeys.OWNER, claim, CLAIM_REVISION));
      return reply(new CommitReply.Committed(CLAIM_REVISION));
    }

    @Override
    public CompletableFuture<LeaseReply> grantLease(long ttlMs) {
      return reply(new LeaseReply.Held(1, ttlMs));
    }

    @Override
    public CompletableFuture<LeaseReply> renewLease(long leaseId) {
      renewals.incrementAndGet();
      return reply(new LeaseReply.Held(leaseId, 3_000));
    }

    @Override
    public CompletableFuture<LeaseReply> endLease(long leaseId) {
      return reply(new LeaseReply.Ended());
    }
  }

  private record Poll(Optional<Long> leaseUntilMs, CompletableFuture<PollReply> reply) {
    void answer() {
      long clockMs = NodeContext.nowMs();
      reply.complete(new PollReply.Answered(new WorkerSnapshot(clockMs, 7, List.of(), List.of())));
    }
  }

  private static final class Workers implements TaskWorkers {
    final BlockingQueue<Poll> polls = new LinkedBlockingQueue<>();

    @Override
    public CompletableFuture<CommandReply> start(
        WorkerRegistration worker, StartTaskCommand command, long leaseUntilMs, long token) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommandReply> stop(
        WorkerRegistration worker, TaskKey task, long run, long token) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommandReply> limitCpu(
        WorkerRegistration worker, TaskKey task, long run, int percent, long token) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<PollReply> poll(
        WorkerRegistration worker, Optional<Long> until, long acknowledged, long wait, long token) {
      Poll poll = new Poll(until, new CompletableFuture<>());
      polls.add(poll);
      return poll.reply();
    }
  }

  private static final class Codec implements ClusterCodec {
    @Override
    public String operatorPrefix() {
      return "op/";
    }

    @Override
    public String workerPrefix() {
      return "servers/";
    }

    @Override
    public Optional<ClusterConfig> config(String key, String text) {
      return Optional.empty();
    }

    @Override
    public Optional<String> withdrawnZone(String key) {
      return Optional.empty();
    }

    @Override
    public Optional<WorkerRegistration> worker(String key, String text) {
      return Optional.of(WORKER);
    }

    @Override
    public String workerId(String key) {
      return "w";
    }
  }

  private Store store;
  private Workers workers;
  private Node node;

  /** Starts a node, which becomes the owner. */
  @BeforeMethod
  public void start() throws InterruptedException {
    store = new Store();
    workers = new Workers();
    node =
        Node.start(
            new NodeContext(
                "a",
                "127.0.0.1:1",
                1,
                store,
                workers,
                (owner, term) -> done(Optional.empty()),
                new Codec(),
                DispatchPolicy.of(6_000, 400),
                new MetricRegistry(),
                NodeContext.nowMs()));
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isPresent())).isTrue();
  }

  /** Stops it. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    node.close();
  }

  /** Answers polls until one of them meets a condition; returns whether one did. */
  private boolean awaitPoll(Predicate<Poll> condition) throws InterruptedException {
    long deadlineMs = NodeContext.nowMs() + AWAIT_TIMEOUT_MS;
    while (NodeContext.nowMs() < deadlineMs) {
      Poll poll = workers.polls.poll(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      if (poll == null) {
        return false;
      }
      boolean met = condition.test(poll);
      // A worker without news lets a poll wait.
      Thread.sleep(10);
      poll.answer();
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
    store.answering = false;
    // then: it still asks the worker what it runs
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    // and renews again once the store has confirmed that it is still the owner
    store.answering = true;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isPresent())).isTrue();
  }

  /** A key that is renewed without replies would keep other nodes from becoming the owner. */
  @Test
  public void should_let_its_key_expire_while_it_gets_no_replies() throws Exception {
    // given
    store.answering = false;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    int renewals = store.renewals.get();
    // when: it goes on asking the worker
    for (int i = 0; i < 20; i++) {
      assertThat(awaitPoll(poll -> true)).isTrue();
    }
    // then
    assertThat(store.renewals).hasValue(renewals);
  }

  @Test
  public void should_end_the_ownership_if_the_key_was_replaced_meanwhile() throws Exception {
    // given
    store.answering = false;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    // when
    OwnerRecord successor = new OwnerRecord("b", "127.0.0.1:2", 2);
    store.ownerKey =
        Optional.of(new StoreItem(StoreKeys.OWNER, Json.write(successor), CLAIM_REVISION + 5));
    store.acceptsClaims = false;
    store.answering = true;
    // then
    assertThat(awaitOwnerAddress(Optional.of("127.0.0.1:2"))).isTrue();
  }

  /** The store may remove the key of an owner that it cannot reach before the lease ends. */
  @Test
  public void should_end_the_ownership_if_the_key_was_removed_although_the_lease_holds()
      throws Exception {
    // given
    store.answering = false;
    assertThat(awaitPoll(poll -> poll.leaseUntilMs().isEmpty())).isTrue();
    // when
    store.ownerKey = Optional.empty();
    store.acceptsClaims = false;
    store.answering = true;
    // then
    assertThat(awaitOwnerAddress(Optional.empty())).isTrue();
  }
}
