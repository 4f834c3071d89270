package org.plantainloom.transport.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Timer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.DecisionLog;
import org.plantainloom.coordination.dispatch.DispatchCommand;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Runs the dispatcher while this node owns the workers: restores the jobs that were accepted
 * before, then passes events to the dispatcher and sends its commands until the ownership ends.
 */
final class OwnerSession implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(OwnerSession.class);
  private static final long READ_RETRY_MS = 200;

  /**
   * Workers' heartbeats within this time are read with one call, as each call to the store is
   * charged for. Reading them late does no harm, as a worker may be given tasks for some seconds
   * after it has announced that it is draining.
   */
  private static final long HEARTBEAT_BATCH_MS = 500;

  /** A round of decisions is followed by a pause this many times as long as the round. */
  private static final int ROUND_PAUSE_FACTOR = 2;

  private final NodeContext node;
  private final EventLoop eventLoop;
  private final PrefixWatch.DelayedExecutor delayedExecutor;
  private final OwnerElection election;
  private final ClusterView cluster;
  private final DecisionLog decisionLog;
  private final Dispatcher dispatcher;
  private final ProgressWriter progressWriter;
  private final long fencingToken;
  private final List<PrefixWatch> watches = new ArrayList<>();
  private final Counter startCounter;
  private final Timer startReplyTimer;
  private Optional<ReadReply.Found> storedJobs = Optional.empty();
  private Optional<ReadReply.Found> storedProgress = Optional.empty();
  private final List<Runnable> deferredReplies = new ArrayList<>();
  private final Set<String> workersWithFailedCalls = ConcurrentHashMap.newKeySet();
  private int fleetSize;
  private boolean fleetLoaded;
  private boolean loaded;
  private boolean roundScheduled;
  private long nextRoundNanos = System.nanoTime();
  private boolean closed;

  OwnerSession(
      NodeContext node,
      EventLoop eventLoop,
      PrefixWatch.DelayedExecutor delayedExecutor,
      OwnerElection election,
      ClusterView cluster,
      OwnerElection.Ownership ownership) {
    this.node = node;
    this.eventLoop = eventLoop;
    this.delayedExecutor = delayedExecutor;
    this.election = election;
    this.cluster = cluster;
    this.fencingToken = ownership.record().term();
    // Concatenated rather than formatted, as there are up to a hundred such lines a second.
    this.decisionLog =
        (event, subject, detail) -> LOG.info("event=" + event + " id=" + subject + " " + detail);
    this.dispatcher =
        new Dispatcher(ownership.record().term(), node.policy(), decisionLog, NodeContext.nowMs());
    this.progressWriter =
        new ProgressWriter(
            node, eventLoop, delayedExecutor, dispatcher, ownership, this::scheduleRound);
    this.startCounter = node.metrics().counter("runs.ordered");
    this.startReplyTimer = node.metrics().timer("runs.start-answer");
    load();
  }

  /**
   * Reads the fleet, the jobs and their progress. Workers are contacted as soon as the fleet is
   * known, as the leases of running tasks must be renewed; their replies are held back until the
   * jobs are known.
   */
  private void load() {
    read(StoreKeys.FLEET, this::onFleet);
    read(
        StoreKeys.JOBS,
        jobs -> {
          storedJobs = Optional.of(jobs);
          startWhenLoaded();
        });
    read(
        StoreKeys.PROGRESS,
        progress -> {
          storedProgress = Optional.of(progress);
          startWhenLoaded();
        });
  }

  private void read(String prefix, Consumer<ReadReply.Found> next) {
    eventLoop.onResult(
        node.store().list(prefix),
        result -> {
          if (closed) {
            return;
          }
          if (result instanceof ReadReply.Found found) {
            next.accept(found);
          } else {
            delayedExecutor.schedule(
                READ_RETRY_MS, () -> runUnlessClosed(() -> read(prefix, next)));
          }
        });
  }

  private void onFleet(ReadReply.Found fleet) {
    long now = NodeContext.nowMs();
    for (StoreItem item : fleet.items()) {
      FleetRecord record = Json.read(item.value(), FleetRecord.class);
      for (WorkerRegistration worker : record.workers()) {
        dispatcher.workerInherited(new FleetMember(worker, silentTasks(record, worker)), now);
      }
      fleetSize += record.workers().size();
    }
    fleetLoaded = true;
    watches.add(
        new PrefixWatch(
                node.store(),
                eventLoop,
                delayedExecutor,
                node.codec().workerPrefix(),
                new WorkerListener(node.codec(), dispatcher, this::scheduleRound))
            .batchChanges(HEARTBEAT_BATCH_MS)
            .start());
    startWhenLoaded();
  }

  private static Optional<List<TaskKey>> silentTasks(
      FleetRecord record, WorkerRegistration worker) {
    return Optional.ofNullable(record.silentTasks().get(worker.id()))
        .map(keys -> keys.stream().map(TaskKey::parse).flatMap(Optional::stream).toList());
  }

  private void startWhenLoaded() {
    if (loaded || !fleetLoaded || storedJobs.isEmpty() || storedProgress.isEmpty()) {
      return;
    }
    ReadReply.Found jobs = storedJobs.get();
    restoreJobs(jobs.items(), storedProgress.get().items());
    storedJobs = Optional.empty();
    storedProgress = Optional.empty();
    loaded = true;
    LOG.infof(
        "event=takeover-read term=%d jobs=%d open=%d fleet=%d",
        fencingToken, jobs.items().size(), dispatcher.openJobCount(), fleetSize);
    clusterChanged();
    deferredReplies.forEach(Runnable::run);
    deferredReplies.clear();
    watches.add(
        new PrefixWatch(node.store(), eventLoop, delayedExecutor, StoreKeys.JOBS, new JobListener())
            .startAfter(jobs.revision()));
  }

  private void restoreJobs(List<StoreItem> jobs, List<StoreItem> progress) {
    long now = NodeContext.nowMs();
    Map<String, StoreItem> progressById = new HashMap<>();
    progress.forEach(item -> progressById.put(StoreKeys.jobId(item.key()), item));
    Set<String> cancelled = new HashSet<>();
    for (StoreItem item : jobs) {
      if (StoreKeys.isCancel(item.key())) {
        cancelled.add(StoreKeys.jobId(item.key()));
      } else {
        parseJob(item.value()).ifPresent(spec -> restore(spec, progressById.get(spec.id()), now));
      }
    }
    cancelled.forEach(id -> dispatcher.jobCancelled(id, now));
    dispatcher.jobsRestored();
  }

  private void restore(JobSpec spec, StoreItem progress, long now) {
    if (progress == null) {
      dispatcher.restoreJob(spec, JobProgress.NONE, 0, now);
    } else {
      dispatcher.restoreJob(
          spec, Json.read(progress.value(), JobProgress.class), progress.revision(), now);
    }
  }

  private static Optional<JobSpec> parseJob(String text) {
    try {
      return Optional.of(Json.read(text, JobSpec.class));
    } catch (MalformedMessageException e) {
      LOG.errorf("event=job-unreadable reason=%s", e.getMessage());
      return Optional.empty();
    }
  }

  private final class JobListener implements PrefixWatch.Listener {
    @Override
    public void onSnapshot(List<StoreItem> items) {
      items.forEach(item -> apply(item.key(), item.value()));
    }

    @Override
    public void onChange(StoreEvent event) {
      event.value().ifPresent(value -> apply(event.key(), value));
    }

    private void apply(String key, String value) {
      long now = NodeContext.nowMs();
      if (StoreKeys.isCancel(key)) {
        dispatcher.jobCancelled(StoreKeys.jobId(key), now);
      } else {
        parseJob(value).ifPresent(spec -> dispatcher.jobSubmitted(spec, now));
      }
      scheduleRound();
    }
  }

  /** Passes the operators' configuration and the withdrawn zones to the dispatcher. */
  void clusterChanged() {
    dispatcher.configure(cluster.config(), NodeContext.nowMs());
    dispatcher.withdrawZones(cluster.withdrawnZones());
    scheduleRound();
  }

  /** Suspends or resumes starting tasks; used while this node may have lost the ownership. */
  void holdStarts(boolean hold) {
    dispatcher.holdStarts(hold);
    scheduleRound();
  }

  /** Schedules a round of decisions after the events that are already queued. */
  void scheduleRound() {
    if (!roundScheduled && fleetLoaded && !closed) {
      roundScheduled = true;
      eventLoop.execute(this::runRound);
    }
  }

  private void runRound() {
    roundScheduled = false;
    long startedNanos = System.nanoTime();
    // A later event or tick starts the round, so that under load one round serves many events.
    if (closed || startedNanos < nextRoundNanos) {
      return;
    }
    decideAndSend();
    long spentNanos = System.nanoTime() - startedNanos;
    nextRoundNanos = startedNanos + (1 + ROUND_PAUSE_FACTOR) * spentNanos;
  }

  private void decideAndSend() {
    long now = NodeContext.nowMs();
    if (!loaded) {
      dispatcher.renewInheritedLeases(now).forEach(order -> send(order, now));
      return;
    }
    dispatcher.decide(now, NodeContext.wallMs()).forEach(order -> send(order, now));
    progressWriter.persist();
    if (dispatcher.isFenced()) {
      election.stepDown();
    }
  }

  private void send(DispatchCommand order, long sentMs) {
    if (order instanceof DispatchCommand.Start start) {
      startCounter.inc();
      call(
          start.worker(),
          () ->
              node.workers()
                  .start(start.worker(), start.command(), start.leaseUntilMs(), fencingToken),
          CommandReply.UNKNOWN,
          reply -> {
            long now = NodeContext.nowMs();
            startReplyTimer.update(now - sentMs, TimeUnit.MILLISECONDS);
            dispatcher.startAnswered(start, reply, now);
          });
    } else if (order instanceof DispatchCommand.Stop stop) {
      decisionLog.logDecision("stop-ordered", stop.task() + "#" + stop.number(), "");
      call(
          stop.worker(),
          () -> node.workers().stop(stop.worker(), stop.task(), stop.number(), fencingToken),
          CommandReply.UNKNOWN,
          reply -> dispatcher.stopAnswered(stop, reply, NodeContext.nowMs()));
    } else if (order instanceof DispatchCommand.LimitCpu pace) {
      decisionLog.logDecision(
          "run-paced", pace.task() + "#" + pace.number(), "percent=" + pace.percent());
      call(
          pace.worker(),
          () ->
              node.workers()
                  .limitCpu(
                      pace.worker(), pace.task(), pace.number(), pace.percent(), fencingToken),
          CommandReply.UNKNOWN,
          reply -> dispatcher.cpuLimitAnswered(pace, reply, NodeContext.nowMs()));
    } else if (order instanceof DispatchCommand.Poll poll) {
      call(
          poll.worker(),
          () ->
              node.workers()
                  .poll(
                      poll.worker(),
                      poll.leaseUntilMs(),
                      poll.acknowledged(),
                      poll.waitMs(),
                      fencingToken),
          new PollReply.Unavailable("the command failed"),
          reply -> dispatcher.pollAnswered(poll.worker(), reply, sentMs, NodeContext.nowMs()));
    }
  }

  /**
   * Sends a command. If the client fails, the dispatcher gets a reply all the same, and the other
   * commands of the round are sent: it would wait for their replies for ever otherwise.
   *
   * @param failureReply the reply if the call fails; the command may have been sent
   */
  private <T> void call(
      WorkerRegistration worker,
      Supplier<CompletableFuture<T>> command,
      T failureReply,
      Consumer<T> consumer) {
    CompletableFuture<T> reply;
    try {
      reply = command.get();
    } catch (RuntimeException e) {
      reply = CompletableFuture.failedFuture(e);
    }
    eventLoop.onResult(
        reply.exceptionally(
            failure -> {
              logFailedCall(worker, failure);
              return failureReply;
            }),
        result -> onReply(() -> consumer.accept(result)));
  }

  /** Logs the first failure only, as each retry is likely to fail for the same reason. */
  private void logFailedCall(WorkerRegistration worker, Throwable failure) {
    if (workersWithFailedCalls.add(worker.id())) {
      LOG.errorf(failure, "event=command-failed worker=%s", worker.id());
    }
  }

  private void onReply(Runnable action) {
    if (closed) {
      return;
    }
    if (loaded) {
      action.run();
      scheduleRound();
    } else {
      deferredReplies.add(action);
    }
  }

  private void runUnlessClosed(Runnable action) {
    if (!closed) {
      action.run();
    }
  }

  /** Returns the number of pending jobs of a queue; empty until the jobs have been read. */
  Optional<Integer> pendingJobs(String queue) {
    return loaded ? Optional.of(dispatcher.queuedJobCount(queue)) : Optional.empty();
  }

  /** Returns the status of a job as callers may see it; empty if the job is not known yet. */
  Optional<JobStatus> visibleStatus(String jobId) {
    return loaded ? dispatcher.visibleStatus(jobId) : Optional.empty();
  }

  /** Returns whether all progress is stored. */
  boolean isProgressPersisted() {
    return !loaded || progressWriter.isIdle();
  }

  @Override
  public void close() {
    closed = true;
    watches.forEach(PrefixWatch::close);
    progressWriter.close();
  }
}
