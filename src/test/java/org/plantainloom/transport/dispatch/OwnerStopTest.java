package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what a node sends before it has read the jobs, and after a newer owner has asked it to
 * stop.
 */
public class OwnerStopTest {
  private static final WorkerRegistration WORKER =
      new WorkerRegistration(
          "w", "service", "w:1", "z", false, new ResourceVector(1, 1, 0), List.of(), 7, 1_000);

  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_S = 30;

  private static final long WORKER_CLOCK_MS = 5_000;
  private static final long LEASE_MS = 6_000;

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }

  /** A store that never returns the jobs. */
  private static final class Store implements TransactionalStore {
    @Override
    public CompletableFuture<ReadReply> read(String key) {
      return done(new ReadReply.Found(List.of(), 1));
    }

    @Override
    public CompletableFuture<ReadReply> list(String prefix) {
      if (prefix.equals(StoreKeys.JOBS) || prefix.equals(StoreKeys.PROGRESS)) {
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
      return done(new CommitReply.Committed(2));
    }

    @Override
    public CompletableFuture<LeaseReply> grantLease(long ttlMs) {
      return done(new LeaseReply.Held(1, ttlMs));
    }

    @Override
    public CompletableFuture<LeaseReply> renewLease(long leaseId) {
      return done(new LeaseReply.Held(leaseId, 3_000));
    }

    @Override
    public CompletableFuture<LeaseReply> endLease(long leaseId) {
      return done(new LeaseReply.Ended());
    }
  }

  private record Poll(Optional<Long> leaseUntilMs, CompletableFuture<PollReply> reply) {}

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

  /** Starts a node. */
  @BeforeMethod
  public void start() {
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
                DispatchPolicy.of(LEASE_MS, 400),
                new MetricRegistry(),
                NodeContext.nowMs()));
  }

  /** Stops it. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    node.close();
  }

  private static PollReply answer() {
    return new PollReply.Answered(new WorkerSnapshot(WORKER_CLOCK_MS, 7, List.of(), List.of()));
  }

  private Poll nextPoll() throws InterruptedException {
    return workers.polls.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Test
  public void should_renew_the_lease_of_a_worker_that_answers_before_the_jobs_are_read()
      throws Exception {
    // given
    Poll first = nextPoll();
    assertThat(first.leaseUntilMs()).isEmpty();
    // when
    first.reply().complete(answer());
    // then
    assertThat(nextPoll().leaseUntilMs()).hasValue(WORKER_CLOCK_MS + LEASE_MS);
  }

  @Test
  public void should_renew_no_lease_after_it_has_said_that_it_stopped() throws Exception {
    // given
    Poll first = nextPoll();
    assertThat(node.stopOwnership(2).join()).isNotNegative();
    // when: the answer to a poll from before arrives
    first.reply().complete(answer());
    // then: a second request is answered after everything that the answer led to
    assertThat(node.stopOwnership(2).join()).isNotNegative();
    assertThat(workers.polls).isEmpty();
  }
}
