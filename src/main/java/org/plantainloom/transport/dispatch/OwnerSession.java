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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.DecisionLog;
import org.plantainloom.coordination.dispatch.DispatchCommand;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.PollReply;
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
  private final OwnershipLease ownershipLease;
  private final Dispatcher dispatcher;
  private final ProgressWriter progressWriter;
  private final Optional<PreviousOwnersInquiry> previousOwnersInquiry;
  private final long fencingToken;
  private final WorkerCalls calls;
  private final List<PrefixWatch> watches = new ArrayList<>();
  private final Counter startCounter;
  private final Timer startReplyTimer;
  private final Timer roundTimer;
  private Optional<ReadReply.Found> storedJobs = Optional.empty();
  private Optional<ReadReply.Found> storedProgress = Optional.empty();

  /**
   * Jobs that could not be restored. Former owners may have run their tasks, so that they must not
   * be taken for new jobs when their keys change.
   */
  private final Set<String> unrestoredJobs = new HashSet<>();

  private final List<Runnable> deferredReplies = new ArrayList<>();
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
      Ownership ownership) {
    this.node = node;
    this.eventLoop = eventLoop;
    this.delayedExecutor = delayedExecutor;
    this.election = election;
    this.cluster = cluster;
    this.fencingToken = ownership.record().term();
    this.ownershipLease = ownership.validity();
    this.calls = new WorkerCalls(node.workers(), fencingToken);
    // Concatenated rather than formatted, as there are up to a hundred such lines a second.
    this.decisionLog =
        (event, subject, detail) -> LOG.info("event=" + event + " id=" + subject + " " + detail);
    this.dispatcher =
        new Dispatcher(
            ownership.record().term(),
            node.policy(),
            ownershipLease,
            decisionLog,
            NodeContext.nowMs());
    this.progressWriter =
        new ProgressWriter(
            node, eventLoop, delayedExecutor, dispatcher, ownership, this::scheduleRound);
    this.previousOwnersInquiry = ownership.previousOwners().map(this::inquire);
    this.startCounter = node.metrics().counter("runs.ordered");
    this.startReplyTimer = node.metrics().timer("runs.start-answer");
    this.roundTimer = node.metrics().timer("decisions.round");
    load();
  }

  private PreviousOwnersInquiry inquire(List<OwnerRecord> previousOwners) {
    dispatcher.previousOwnersKnown();
    return new PreviousOwnersInquiry(
            node.peers(),
            eventLoop,
            delayedExecutor,
            fencingToken,
            NodeContext.nowMs(),
            previousOwners,
            dispatcher::previousOwnersStopped)
        .start();
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
    fleet.items().stream()
        .filter(item -> item.key().equals(StoreKeys.FLEET))
        .forEach(this::inheritFleet);
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

  private void inheritFleet(StoreItem item) {
    long now = NodeContext.nowMs();
    StoredFleet fleet = StoredFleet.parse(item.value());
    progressWriter.fleetRead(item.revision());
    fleet.members().forEach(member -> dispatcher.workerInherited(member, now));
    fleetSize = fleet.members().size();
    if (fleet.damage().isPresent()) {
      LOG.errorf(
          "event=fleet-unreadable revision=%d workers=%d reason=%s effect=tasks of inherited jobs"
              + " wait for the longest lease",
          item.revision(), fleetSize, fleet.damage().get());
      dispatcher.fleetIncomplete();
    }
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
    progress.forEach(
        item -> StoreKeys.jobId(item.key()).ifPresent(id -> progressById.put(id, item)));
    Set<String> cancelled = new HashSet<>();
    for (StoreItem item : jobs) {
      Optional<String> id = StoreKeys.jobId(item.key());
      if (id.isEmpty()) {
        LOG.warnf("event=foreign-key key=%s", item.key());
      } else if (StoreKeys.isCancel(item.key())) {
        cancelled.add(id.get());
      } else {
        Optional<StoreItem> itsProgress = Optional.ofNullable(progressById.get(id.get()));
        readJob(id.get(), item.value())
            .ifPresentOrElse(spec -> restore(spec, itsProgress, now), () -> doNotRestore(id.get()));
      }
    }
    cancelled.forEach(id -> dispatcher.jobCancelled(id, now));
    dispatcher.jobsRestored();
  }

  private void restore(JobSpec spec, Optional<StoreItem> stored, long now) {
    long revision = stored.map(StoreItem::revision).orElse(0L);
    try {
      JobProgress progress =
          stored.map(item -> StoredProgress.parse(spec, item.value())).orElse(JobProgress.NONE);
      dispatcher.restoreJob(spec, progress, revision, now);
    } catch (MalformedMessageException e) {
      restoreWithoutProgress(spec, revision, e.getMessage(), now);
    }
  }

  /**
   * Handles a job of which it is not known which tasks have finished. Tasks that last never do, so
   * they go on. Any other task may not run again: the dispatcher does not get to know the job, and
   * therefore stops what runs of it, as it could not store how that ends.
   */
  private void restoreWithoutProgress(JobSpec spec, long revision, String reason, long now) {
    boolean lasting = spec.phases().stream().allMatch(PhaseSpec::lasting);
    LOG.errorf(
        "event=progress-unreadable id=%s reason=%s effect=%s",
        spec.id(), reason, lasting ? "failures and checkpoints are lost" : "no task runs any more");
    if (lasting) {
      dispatcher.restoreJob(spec, JobProgress.NONE, revision, now);
    } else {
      doNotRestore(spec.id());
    }
  }

  private void doNotRestore(String jobId) {
    unrestoredJobs.add(jobId);
    dispatcher.jobUnreadable(jobId);
  }

  private static Optional<JobSpec> readJob(String id, String text) {
    try {
      return Optional.of(StoredJob.parse(id, text));
    } catch (MalformedMessageException e) {
      LOG.errorf("event=job-unreadable id=%s reason=%s", id, e.getMessage());
      return Optional.empty();
    }
  }

  private final class JobListener implements PrefixWatch.Listener {
    @Override
    public void onSnapshot(List<StoreItem> items) {
      PrefixWatch.forEach(items, item -> apply(item.key(), item.value()));
    }

    @Override
    public void onChange(StoreEvent event) {
      event.value().ifPresent(value -> apply(event.key(), value));
    }

    private void apply(String key, String value) {
      Optional<String> id = StoreKeys.jobId(key);
      if (id.isEmpty()) {
        LOG.warnf("event=foreign-key key=%s", key);
      } else if (StoreKeys.isCancel(key)) {
        dispatcher.jobCancelled(id.get(), NodeContext.nowMs());
      } else if (!unrestoredJobs.contains(id.get())) {
        readJob(id.get(), value)
            .ifPresent(spec -> dispatcher.jobSubmitted(spec, NodeContext.nowMs()));
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
    roundTimer.update(spentNanos, TimeUnit.NANOSECONDS);
    nextRoundNanos = startedNanos + (1 + ROUND_PAUSE_FACTOR) * spentNanos;
  }

  private void decideAndSend() {
    long now = NodeContext.nowMs();
    if (!loaded) {
      dispatcher.pollInheritedWorkers(now, NodeContext.wallMs()).forEach(order -> send(order, now));
      return;
    }
    if (dispatcher.areInheritedLeasesOver(now)) {
      previousOwnersInquiry.ifPresent(PreviousOwnersInquiry::close);
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
      onReply(
          calls.start(start),
          reply -> {
            long now = NodeContext.nowMs();
            startReplyTimer.update(now - sentMs, TimeUnit.MILLISECONDS);
            dispatcher.startAnswered(start, reply, now);
          });
    } else if (order instanceof DispatchCommand.Stop stop) {
      decisionLog.logDecision("stop-ordered", stop.task() + "#" + stop.number(), "");
      onReply(calls.stop(stop), reply -> dispatcher.stopAnswered(stop, reply, NodeContext.nowMs()));
    } else if (order instanceof DispatchCommand.LimitCpu pace) {
      decisionLog.logDecision(
          "run-paced", pace.task() + "#" + pace.number(), "percent=" + pace.percent());
      onReply(
          calls.limitCpu(pace),
          reply -> dispatcher.cpuLimitAnswered(pace, reply, NodeContext.nowMs()));
    } else if (order instanceof DispatchCommand.Poll poll) {
      CompletableFuture<PollReply> call = calls.poll(poll);
      if (!loaded) {
        eventLoop.onResult(call, reply -> renewInheritedLease(poll.worker(), reply));
      }
      onReply(
          call,
          reply -> dispatcher.pollAnswered(poll.worker(), reply, sentMs, NodeContext.nowMs()));
    }
  }

  private void renewInheritedLease(WorkerRegistration worker, PollReply reply) {
    if (closed || loaded) {
      return;
    }
    dispatcher
        .renewInheritedLease(worker, reply, NodeContext.nowMs(), NodeContext.wallMs())
        // What the worker lists is read again by the next poll.
        .ifPresent(poll -> eventLoop.onResult(calls.poll(poll), renewed -> {}));
  }

  /** Passes a reply on, or keeps it until the jobs have been read. */
  private <T> void onReply(CompletableFuture<T> call, Consumer<T> consumer) {
    eventLoop.onResult(
        call,
        reply -> {
          if (closed) {
            return;
          }
          if (loaded) {
            consumer.accept(reply);
            scheduleRound();
          } else {
            deferredReplies.add(() -> consumer.accept(reply));
          }
        });
  }

  private void runUnlessClosed(Runnable action) {
    if (!closed) {
      action.run();
    }
  }

  /**
   * Returns the number of pending jobs of a queue; empty until the jobs have been read, and while
   * another node may know better.
   */
  Optional<Integer> pendingJobs(String queue) {
    boolean acting = ownershipLease.isValid(NodeContext.nowMs(), NodeContext.wallMs());
    return loaded && acting ? Optional.of(dispatcher.queuedJobCount(queue)) : Optional.empty();
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
    previousOwnersInquiry.ifPresent(PreviousOwnersInquiry::close);
    progressWriter.close();
  }
}
