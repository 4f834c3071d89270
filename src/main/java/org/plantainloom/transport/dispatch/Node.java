package org.plantainloom.transport.dispatch;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.transport.duty.EventLoop;

/**
 * One node of the cluster: watches the operators' configuration, takes part in the election of the
 * owner, and runs the dispatcher while it is the owner. Its state is confined to one event loop.
 */
public final class Node implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(Node.class);

  /** Resolution of lease renewals, retries and due times; well below the shortest of them. */
  private static final long TICK_MS = 25;

  /** A longer gap between two ticks means that the process was suspended. */
  private static final long PAUSE_THRESHOLD_MS = 800;

  private final String name;
  private final EventLoop eventLoop;
  private final ClusterWatch clusterWatch;
  private final OwnerElection election;
  private final JobRegistry jobs;
  private final DelayedActions delayedActions = new DelayedActions();
  private final Admission admission = new Admission();
  private final List<PrefixWatch> watches = new ArrayList<>();
  private Optional<OwnerSession> session = Optional.empty();
  private volatile Optional<OwnerRecord> owner = Optional.empty();
  private long lastTickMs = NodeContext.nowMs();
  private long lastTickWallMs = NodeContext.wallMs();
  private Optional<Runnable> onTick = Optional.empty();

  /** Number of changes by operators that were passed on to the owner's session. */
  private long passedOnChanges;

  /** When this node last stopped being an owner, or started. */
  private long notOwnerSinceMs;

  private final Consumer<String> endListener;

  private Node(NodeContext context, Consumer<String> endListener) {
    this.endListener = endListener;
    this.name = context.name();
    this.notOwnerSinceMs = context.startedMs();
    // The event loop may tick before the constructor has created the other parts.
    this.eventLoop =
        EventLoop.start(
            "node",
            TICK_MS,
            () -> onTick.ifPresent(Runnable::run),
            error -> cannotGoOn("out of memory"));
    this.clusterWatch = new ClusterWatch(context);
    this.jobs = new JobRegistry(context.store(), context.metrics(), admission);
    registerGauges(context.metrics());
    this.election =
        new OwnerElection(
            context, eventLoop, delayedActions, admission, new SessionManager(context));
    eventLoop.execute(
        () -> {
          onTick = Optional.of(this::tick);
          watches.add(
              new PrefixWatch(context.store(), eventLoop, delayedActions, StoreKeys.OWNER, election)
                  .start());
        });
  }

  private void registerGauges(MetricRegistry metrics) {
    metrics.gauge("loop.node.busy-ms", () -> eventLoop::busyMs);
    metrics.gauge("loop.node.longest-task-ms", () -> eventLoop::longestTaskMs);
    metrics.gauge("jobs.budget-bytes-left", () -> admission::lastKnownBytesLeft);
  }

  /** Starts a node with its own event loop. */
  public static Node start(NodeContext context) {
    return start(context, reason -> LOG.errorf("event=cannot-go-on reason=%s", reason));
  }

  /**
   * Starts a node with its own event loop.
   *
   * @param endListener receives the reason when the node cannot go on and has given up the
   *     ownership; it should end the process, which is of no use any more
   */
  public static Node start(NodeContext context, Consumer<String> endListener) {
    return new Node(context, endListener);
  }

  /** Gives up the ownership for good, as the state of this node may be incomplete. */
  private void cannotGoOn(String reason) {
    try {
      // Without ticks no lease is renewed, should what follows find no memory.
      onTick = Optional.empty();
      session.ifPresent(OwnerSession::close);
      session = Optional.empty();
      election.resign();
    } finally {
      endListener.accept(reason);
    }
  }

  /** Returns a number that changes while the event loop turns. */
  public long tickCount() {
    return eventLoop.tickCount();
  }

  private final class SessionManager implements OwnershipListener {
    private final NodeContext context;

    SessionManager(NodeContext context) {
      this.context = context;
    }

    @Override
    public void onGained(Ownership ownership, OwnershipConfirmations confirmations) {
      session =
          Optional.of(
              new OwnerSession(
                  context,
                  eventLoop,
                  delayedActions,
                  election,
                  clusterWatch,
                  ownership,
                  confirmations,
                  admission));
    }

    @Override
    public void onLost(String reason) {
      session.ifPresent(OwnerSession::close);
      session = Optional.empty();
      notOwnerSinceMs = NodeContext.nowMs();
    }
  }

  /** Passes the newest configuration and withdrawn zones on, at most once a tick. */
  private void passOnClusterChange() {
    ClusterView view = clusterWatch.view();
    if (view.changes() != passedOnChanges) {
      passedOnChanges = view.changes();
      session.ifPresent(OwnerSession::clusterChanged);
    }
  }

  private void tick() {
    long now = NodeContext.nowMs();
    detectPause(now);
    election.tick(now, NodeContext.wallMs());
    jobs.tick(now);
    owner = election.owner();
    delayedActions.runDue();
    passOnClusterChange();
    session.ifPresent(OwnerSession::scheduleRound);
  }

  /** Logs a pause of this process, during which another node may have become the owner. */
  private void detectPause(long now) {
    long wall = NodeContext.wallMs();
    boolean gap =
        now - lastTickMs > PAUSE_THRESHOLD_MS || wall - lastTickWallMs > PAUSE_THRESHOLD_MS;
    if (gap && session.isPresent()) {
      LOG.warnf(
          "event=process-paused steadyMs=%d wallMs=%d", now - lastTickMs, wall - lastTickWallMs);
    }
    lastTickMs = now;
    lastTickWallMs = wall;
  }

  /** Returns the name of this node. */
  public String name() {
    return name;
  }

  /** Returns the configuration that this node knows, however old it is. */
  public ClusterConfig knownConfig() {
    return clusterWatch.view().config();
  }

  /**
   * Returns the configuration as it is in force, for which the store may be asked; empty if it does
   * not answer soon.
   */
  public CompletableFuture<Optional<ClusterConfig>> currentConfig() {
    return clusterWatch.currentConfig();
  }

  /** Returns how long ago the configuration was known to be the newest one, in milliseconds. */
  public long configAgeMs() {
    return clusterWatch.view().ageMs();
  }

  /** Returns whether this node can serve callers, who should go to another node otherwise. */
  public boolean isReady() {
    return knownConfig().isKnown() && !jobs.isStoreUnavailable();
  }

  /** Submits a job. */
  public CompletableFuture<JobReply> submit(JobSpec spec) {
    return jobs.submit(spec);
  }

  /** Cancels a job. */
  public CompletableFuture<JobReply> cancel(String jobId) {
    return jobs.cancel(jobId);
  }

  /** Returns the stored status of a job. */
  public CompletableFuture<JobReply> status(String jobId) {
    return jobs.status(jobId);
  }

  /** Returns the control address of the owner, as far as this node knows. */
  public Optional<String> ownerAddress() {
    return owner.map(OwnerRecord::address);
  }

  /**
   * Returns how many jobs of a queue wait for their first start; empty if this node is not the
   * owner.
   */
  public CompletableFuture<Optional<Integer>> pendingJobs(String queue) {
    CompletableFuture<Optional<Integer>> result = new CompletableFuture<>();
    eventLoop.execute(
        () -> result.complete(session.flatMap(ownerSession -> ownerSession.pendingJobs(queue))));
    return result;
  }

  /**
   * Returns a job's status as callers may see it; empty unless this node is the owner and knows the
   * job.
   */
  public CompletableFuture<Optional<JobStatus>> statusAsOwner(String jobId) {
    CompletableFuture<Optional<JobStatus>> result = new CompletableFuture<>();
    eventLoop.execute(
        () -> result.complete(session.flatMap(ownerSession -> ownerSession.visibleStatus(jobId))));
    return result;
  }

  /** Returns whether all progress of this node's ownership is stored. */
  public CompletableFuture<Boolean> isProgressPersisted() {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    eventLoop.execute(
        () -> result.complete(session.map(OwnerSession::isProgressPersisted).orElse(true)));
    return result;
  }

  /**
   * Gives up any ownership below a term, for good, as a newer owner asks for it.
   *
   * @return for how many milliseconds this process has sent no command as such an owner
   */
  public CompletableFuture<Long> stopOwnership(long term) {
    CompletableFuture<Long> result = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          election.giveUpBelow(term);
          result.complete(NodeContext.nowMs() - notOwnerSinceMs);
        });
    return result;
  }

  /** Gives up the ownership for good, before a planned stop. */
  public CompletableFuture<Boolean> resign() {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          election.resign();
          result.complete(true);
        });
    return result;
  }

  @Override
  public void close() {
    clusterWatch.close();
    eventLoop.execute(() -> watches.forEach(PrefixWatch::close));
    eventLoop.close();
  }
}
