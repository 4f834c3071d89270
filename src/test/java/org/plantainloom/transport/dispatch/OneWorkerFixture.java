package org.plantainloom.transport.dispatch;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
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

/** One node that owns one worker, over a store and a worker that tests control. */
final class OneWorkerFixture implements AutoCloseable {
  static final long LEASE_MS = 6_000;
  static final long CLAIM_REVISION = 2;
  private static final WorkerRegistration WORKER =
      new WorkerRegistration(
          "w", "service", "w:1", "z", false, new ResourceVector(1, 1, 0), List.of(), 7, 1_000);

  final Store store = new Store();
  final Workers workers = new Workers();
  private Node node;

  /** Starts the node, which becomes the owner. */
  Node start() {
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
                DispatchPolicy.of(LEASE_MS, 400),
                new MetricRegistry(),
                NodeContext.nowMs()));
    return node;
  }

  @Override
  public void close() {
    node.close();
  }

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }

  /** A store that can stop answering, and whose owner key another node may have replaced. */
  static final class Store implements TransactionalStore {
    volatile boolean answering = true;

    /** Whether the jobs can be read; the node does not get beyond its takeover otherwise. */
    volatile boolean jobsReadable = true;

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
      if (!jobsReadable && (prefix.equals(StoreKeys.JOBS) || prefix.equals(StoreKeys.PROGRESS))) {
        return new CompletableFuture<>();
      }
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
      if (claim == null && !isOwnerKey(transaction.expected().get(StoreKeys.OWNER))) {
        return reply(new CommitReply.Conflict(ownerKey.stream().toList()));
      }
      if (claim == null) {
        return reply(new CommitReply.Committed(CLAIM_REVISION + 1));
      }
      if (!acceptsClaims) {
        return reply(new CommitReply.Conflict(List.of()));
      }
      ownerKey = Optional.of(new StoreItem(StoreKeys.OWNER, claim, CLAIM_REVISION));
      return reply(new CommitReply.Committed(CLAIM_REVISION));
    }

    private boolean isOwnerKey(long revision) {
      return ownerKey.filter(item -> item.revision() == revision).isPresent();
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

  /** A poll that the worker has received. */
  record Poll(Optional<Long> leaseUntilMs, CompletableFuture<PollReply> reply) {
    /** Answers that the worker runs nothing, by a clock. */
    void answer(long clockMs) {
      reply.complete(new PollReply.Answered(new WorkerSnapshot(clockMs, 7, List.of(), List.of())));
    }
  }

  /** A worker that keeps the polls which it receives, and answers nothing by itself. */
  static final class Workers implements TaskWorkers {
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
}
