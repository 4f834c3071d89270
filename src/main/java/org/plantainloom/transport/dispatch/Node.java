package org.plantainloom.transport.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.transport.duty.EventLoop;

/**
 * One node: follows the operators' wishes, takes part in choosing the owner, and is the owner while
 * it is chosen. All its state is touched by one duty thread.
 */
public final class Node implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(Node.class);

  /** Pace of leases, retries and due times; well below the shortest of them. */
  private static final long TICK_MS = 25;

  /** A longer gap between two ticks means that the process was suspended. */
  private static final long PAUSE_MS = 800;

  private static final long CONFIRM_EVERY_MS = 200;

  private final EventLoop duty;
  private final ClusterView cluster;
  private final Ownership ownership;
  private final JobDesk desk;
  private final PriorityQueue<Delayed> delayed =
      new PriorityQueue<>((a, b) -> Long.compare(a.dueMs(), b.dueMs()));
  private final List<PrefixWatch> watches = new ArrayList<>();
  private Optional<OwnerSession> session = Optional.empty();
  private volatile Optional<OwnerRecord> owner = Optional.empty();
  private long lastTickMs = NodeContext.nowMs();
  private long lastTickWallMs = NodeContext.wallMs();
  private Optional<Runnable> begun = Optional.empty();
  private boolean paused;
  private long confirmAskedMs;

  private record Delayed(long dueMs, Runnable action) {}

  private Node(NodeContext context) {
    // The duty may tick before the parts that it drives are there.
    this.duty = EventLoop.start("node", TICK_MS, () -> begun.ifPresent(Runnable::run));
    this.cluster = new ClusterView(context.codec(), this::clusterChanged);
    this.desk = new JobDesk(context.store(), context.metrics());
    this.ownership = new Ownership(context, duty, this::after, new SessionSwitch(context));
    duty.execute(
        () -> {
          begun = Optional.of(this::tick);
          watches.add(
              new PrefixWatch(
                      context.store(), duty, this::after, context.codec().operatorPrefix(), cluster)
                  .start());
          watches.add(
              new PrefixWatch(context.store(), duty, this::after, StoreKeys.OWNER, ownership)
                  .start());
        });
  }

  /** Starts a node. */
  public static Node start(NodeContext context) {
    return new Node(context);
  }

  private final class SessionSwitch implements Ownership.Events {
    private final NodeContext context;

    SessionSwitch(NodeContext context) {
      this.context = context;
    }

    @Override
    public void gained(Ownership.Held held) {
      paused = false;
      session =
          Optional.of(new OwnerSession(context, duty, Node.this::after, ownership, cluster, held));
    }

    @Override
    public void lost(String reason) {
      session.ifPresent(OwnerSession::close);
      session = Optional.empty();
    }
  }

  private void after(long delayMs, Runnable action) {
    delayed.add(new Delayed(NodeContext.nowMs() + delayMs, action));
  }

  private void clusterChanged() {
    session.ifPresent(OwnerSession::clusterChanged);
  }

  private void tick() {
    long now = NodeContext.nowMs();
    noticePause(now);
    ownership.tick(now);
    owner = ownership.owner();
    while (!delayed.isEmpty() && delayed.peek().dueMs() <= now) {
      delayed.poll().action().run();
    }
    session.ifPresent(OwnerSession::pumpSoon);
  }

  /**
   * After a pause of this process another node may be the owner: nothing starts until it is not.
   */
  private void noticePause(long now) {
    long wall = NodeContext.wallMs();
    boolean gap = now - lastTickMs > PAUSE_MS || wall - lastTickWallMs > PAUSE_MS;
    if (gap && session.isPresent()) {
      LOG.warnf(
          "event=process-paused steadyMs=%d wallMs=%d", now - lastTickMs, wall - lastTickWallMs);
      paused = true;
      session.get().holdStarts(true);
      confirmAskedMs = 0;
    }
    lastTickMs = now;
    lastTickWallMs = wall;
    if (paused && session.isPresent() && now - confirmAskedMs > CONFIRM_EVERY_MS) {
      confirmAskedMs = now;
      ownership.confirm(this::confirmed);
    }
  }

  private void confirmed(boolean stillOwner) {
    if (stillOwner && paused) {
      paused = false;
      session.ifPresent(owned -> owned.holdStarts(false));
    }
  }

  /** Returns the configuration in force on this node. */
  public ClusterConfig config() {
    return cluster.config();
  }

  /** Accepts a job. */
  public CompletableFuture<JobReply> submit(JobSpec spec) {
    return desk.submit(spec);
  }

  /** Cancels a job. */
  public CompletableFuture<JobReply> cancel(String jobId) {
    return desk.cancel(jobId);
  }

  /** Returns what has become of a job. */
  public CompletableFuture<JobReply> status(String jobId) {
    return desk.status(jobId);
  }

  /** Returns the control address of the node that owns the workers, as far as this one knows. */
  public Optional<String> ownerAddress() {
    return owner.map(OwnerRecord::address);
  }

  /**
   * Returns how many jobs of a queue wait for their first start; empty if this is not the owner.
   */
  public CompletableFuture<Optional<Integer>> pendingJobs(String queue) {
    CompletableFuture<Optional<Integer>> result = new CompletableFuture<>();
    duty.execute(() -> result.complete(session.flatMap(owned -> owned.pendingJobs(queue))));
    return result;
  }

  /** Returns what callers may be told of a job; empty if this is not the owner that knows it. */
  public CompletableFuture<Optional<JobStatus>> statusAsOwner(String jobId) {
    CompletableFuture<Optional<JobStatus>> result = new CompletableFuture<>();
    duty.execute(() -> result.complete(session.flatMap(owned -> owned.shownStatus(jobId))));
    return result;
  }

  /** Returns whether all progress of this node's ownership is kept. */
  public CompletableFuture<Boolean> isProgressPersisted() {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    duty.execute(() -> result.complete(session.map(OwnerSession::isKept).orElse(true)));
    return result;
  }

  /** Hands the ownership over, before a planned stop. */
  public CompletableFuture<Boolean> resign() {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    duty.execute(
        () -> {
          ownership.resign();
          result.complete(true);
        });
    return result;
  }

  @Override
  public void close() {
    duty.execute(() -> watches.forEach(PrefixWatch::close));
    duty.close();
  }
}
