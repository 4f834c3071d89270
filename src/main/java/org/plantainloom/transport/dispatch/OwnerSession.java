package org.plantainloom.transport.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.DecisionLog;
import org.plantainloom.coordination.dispatch.DispatchCommand;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.JobBudget;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.store.ReadReply;
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
  private final ClusterWatch clusterWatch;
  private final Admission admission;
  private final JobBudget jobBudget = JobBudget.ofHeap(Runtime.getRuntime().maxMemory());
  private final DecisionLog decisionLog;
  private final Ownership ownership;
  private final Dispatcher dispatcher;
  private final JobListener jobListener;
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
      ClusterWatch clusterWatch,
      Ownership ownership,
      OwnershipConfirmations confirmations,
      Admission admission) {
    this.node = node;
    this.admission = admission;
    this.eventLoop = eventLoop;
    this.delayedExecutor = delayedExecutor;
    this.election = election;
    this.clusterWatch = clusterWatch;
    this.fencingToken = ownership.record().term();
    this.ownership = ownership;
    this.calls = new WorkerCalls(node.workers(), fencingToken);
    // Concatenated rather than formatted, as there are up to a hundred such lines a second.
    this.decisionLog =
        (event, subject, detail) -> LOG.info("event=" + event + " id=" + subject + " " + detail);
    this.dispatcher =
        new Dispatcher(
            ownership.record().term(),
            node.policy(),
            ownership.validity(),
            decisionLog,
            NodeContext.nowMs());
    this.jobListener = new JobListener(dispatcher, this::scheduleRound);
    this.progressWriter =
        new ProgressWriter(
            node,
            eventLoop,
            delayedExecutor,
            dispatcher,
            ownership,
            confirmations,
            new ProgressWriter.ListListener() {
              @Override
              public void onFirstSent() {
                loadJobs();
              }

              @Override
              public void onStored() {
                listStored();
              }
            },
            this::scheduleRound);
    this.previousOwnersInquiry = ownership.previousOwners().map(this::inquire);
    ownership.lastConfirmation().ifPresent(dispatcher::previousOwnerConfirmed);
    confirmations.workerClocks(dispatcher::workerClocks);
    confirmations.jobBytesLeft(this::jobBytesLeft);
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
   * Reads the fleet, then the jobs and their progress. Workers are contacted as soon as the fleet
   * is known, as the leases of running tasks must be renewed; their replies are held back until the
   * jobs are known.
   */
  private void load() {
    read(StoreKeys.FLEET, (fleet, sentMs, sentWallMs) -> onFleet(fleet));
  }

  /**
   * Reads the jobs and their progress, once the list has been sent after which leases can be
   * renewed: a process that has just started takes a second to read hundreds of jobs.
   */
  private void loadJobs() {
    read(
        StoreKeys.JOBS,
        (jobs, sentMs, sentWallMs) -> {
          storedJobs = Optional.of(jobs);
          jobListener.onComplete(sentMs, sentWallMs);
          startWhenLoaded();
        });
    read(
        StoreKeys.PROGRESS,
        (progress, sentMs, sentWallMs) -> {
          storedProgress = Optional.of(progress);
          startWhenLoaded();
        });
  }

  /** Receives all items with a prefix, and when the call was sent that has read them. */
  @FunctionalInterface
  private interface ReadListener {
    void onRead(ReadReply.Found found, long sentMs, long sentWallMs);
  }

  private void read(String prefix, ReadListener next) {
    long sentMs = NodeContext.nowMs();
    long sentWallMs = NodeContext.wallMs();
    eventLoop.onResult(
        node.store().list(prefix),
        result -> {
          if (closed) {
            return;
          }
          if (result instanceof ReadReply.Found found) {
            next.onRead(found, sentMs, sentWallMs);
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
    dispatcher.inheritedWorkers().allRead(NodeContext.nowMs());
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
    StoredFleet fleet = StoredFleet.parse(item.value(), ownership::latestMs);
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
    jobListener.restoreAll(jobs.items(), storedProgress.get().items());
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
        new PrefixWatch(node.store(), eventLoop, delayedExecutor, StoreKeys.JOBS, jobListener)
            .hedged()
            .startAfter(jobs.revision()));
  }

  /** Passes the operators' configuration and the withdrawn zones to the dispatcher. */
  void clusterChanged() {
    ClusterView cluster = clusterWatch.view();
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
      dispatcher
          .inheritedWorkers()
          .polls(now, NodeContext.wallMs())
          .forEach(order -> send(order, now));
      progressWriter.persistList();
      return;
    }
    if (dispatcher.areInheritedLeasesOver(now)) {
      previousOwnersInquiry.ifPresent(PreviousOwnersInquiry::close);
    }
    admission.update(jobBytesLeft());
    dispatcher.configCurrent(clusterWatch.confirmIfOutdated());
    dispatcher.decide(now, NodeContext.wallMs()).forEach(order -> send(order, now));
    progressWriter.persist();
    if (dispatcher.isFenced()) {
      election.stepDown();
    }
  }

  /** Until the jobs are read, what the owner before has said is the best that is known. */
  private long jobBytesLeft() {
    return loaded
        ? jobBudget.bytesLeft(dispatcher.estimatedJobBytes())
        : admission.lastKnownBytesLeft();
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
    } else if (order instanceof DispatchCommand.Renewal renewal) {
      renew(renewal);
    } else if (order instanceof DispatchCommand.Poll poll) {
      CompletableFuture<PollReply> call = calls.poll(poll);
      if (!loaded) {
        eventLoop.onResult(call, reply -> inheritedWorkerAnswered(poll.worker(), reply));
      }
      onReply(
          call,
          reply -> dispatcher.pollAnswered(poll.worker(), reply, sentMs, NodeContext.nowMs()));
    }
  }

  private void inheritedWorkerAnswered(WorkerRegistration worker, PollReply reply) {
    if (closed || loaded) {
      return;
    }
    dispatcher
        .inheritedWorkers()
        .answered(worker, reply, NodeContext.nowMs(), NodeContext.wallMs())
        .ifPresent(this::renew);
    scheduleRound();
  }

  /** Handles that the workers are stored as those that answer whose leases may now be renewed. */
  private void listStored() {
    if (!loaded) {
      dispatcher
          .inheritedWorkers()
          .renewals(NodeContext.nowMs(), NodeContext.wallMs())
          .forEach(this::renew);
    }
  }

  private void renew(DispatchCommand.Renewal renewal) {
    eventLoop.onResult(calls.renew(renewal), reply -> {});
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
    boolean acting = ownership.validity().isValid(NodeContext.nowMs(), NodeContext.wallMs());
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
