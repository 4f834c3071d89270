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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.DecisionLog;
import org.plantainloom.coordination.dispatch.DispatchCommand;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.transport.duty.EventLoop;

/**
 * One ownership of the workers: reads what was accepted before, then feeds the dispatcher and sends
 * its orders until the ownership ends.
 */
final class OwnerSession implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(OwnerSession.class);
  private static final long RETRY_READ_MS = 200;

  /**
   * Heartbeats of this time are read together: each call to the store is paid for, and a worker may
   * be given tasks for some seconds after it has told that it leaves.
   */
  private static final long GATHER_HEARTBEATS_MS = 500;

  /** A round of decisions is followed by a pause this many times as long as it took. */
  private static final int PAUSE_FACTOR = 2;

  private final NodeContext node;
  private final EventLoop duty;
  private final PrefixWatch.Delays delays;
  private final Ownership ownership;
  private final ClusterView cluster;
  private final DecisionLog log;
  private final Dispatcher dispatcher;
  private final ProgressKeeper keeper;
  private final long fencingToken;
  private final List<PrefixWatch> watches = new ArrayList<>();
  private final Counter starts;
  private final Timer startAnswers;
  private Optional<ReadReply.Found> readJobs = Optional.empty();
  private Optional<ReadReply.Found> readProgress = Optional.empty();
  private final List<Runnable> earlyAnswers = new ArrayList<>();
  private int fleetSize;
  private boolean fleetKnown;
  private boolean loaded;
  private boolean pumping;
  private long nextPumpNanos = System.nanoTime();
  private boolean closed;

  OwnerSession(
      NodeContext node,
      EventLoop duty,
      PrefixWatch.Delays delays,
      Ownership ownership,
      ClusterView cluster,
      Ownership.Held held) {
    this.node = node;
    this.duty = duty;
    this.delays = delays;
    this.ownership = ownership;
    this.cluster = cluster;
    this.fencingToken = held.record().term();
    // Concatenated, not formatted: there are up to a hundred such lines a second.
    this.log =
        (event, subject, detail) -> LOG.info("event=" + event + " id=" + subject + " " + detail);
    this.dispatcher = new Dispatcher(held.record().term(), node.policy(), log, NodeContext.nowMs());
    this.keeper = new ProgressKeeper(node, duty, delays, dispatcher, held, this::pumpSoon);
    this.starts = node.metrics().counter("runs.ordered");
    this.startAnswers = node.metrics().timer("runs.start-answer");
    load();
  }

  /**
   * Reads what was accepted before. The fleet and the registrations come first, as the leases of
   * what runs have to be renewed; the answers of the workers wait until the jobs are known.
   */
  private void load() {
    read(StoreKeys.FLEET, this::fleetRead);
    read(
        StoreKeys.JOBS,
        jobs -> {
          readJobs = Optional.of(jobs);
          beginWhenRead();
        });
    read(
        StoreKeys.PROGRESS,
        progress -> {
          readProgress = Optional.of(progress);
          beginWhenRead();
        });
  }

  private void read(String prefix, Consumer<ReadReply.Found> next) {
    duty.onResult(
        node.store().list(prefix),
        result -> {
          if (closed) {
            return;
          }
          if (result instanceof ReadReply.Found found) {
            next.accept(found);
          } else {
            delays.after(RETRY_READ_MS, () -> unlessClosed(() -> read(prefix, next)));
          }
        });
  }

  private void fleetRead(ReadReply.Found fleet) {
    long now = NodeContext.nowMs();
    for (StoreItem item : fleet.items()) {
      FleetRecord record = Json.read(item.value(), FleetRecord.class);
      for (WorkerRegistration worker : record.workers()) {
        dispatcher.workerInherited(new FleetMember(worker, silentTasks(record, worker)), now);
      }
      fleetSize += record.workers().size();
    }
    fleetKnown = true;
    watches.add(
        new PrefixWatch(
                node.store(), duty, delays, node.codec().workerPrefix(), new WorkerListener())
            .gather(GATHER_HEARTBEATS_MS)
            .start());
    beginWhenRead();
  }

  private static Optional<List<TaskKey>> silentTasks(
      FleetRecord record, WorkerRegistration worker) {
    return Optional.ofNullable(record.silentTasks().get(worker.id()))
        .map(keys -> keys.stream().map(TaskKey::parse).flatMap(Optional::stream).toList());
  }

  private void beginWhenRead() {
    if (loaded || !fleetKnown || readJobs.isEmpty() || readProgress.isEmpty()) {
      return;
    }
    ReadReply.Found jobs = readJobs.get();
    restoreJobs(jobs.items(), readProgress.get().items());
    readJobs = Optional.empty();
    readProgress = Optional.empty();
    loaded = true;
    LOG.infof(
        "event=takeover-read term=%d jobs=%d open=%d fleet=%d",
        fencingToken, jobs.items().size(), dispatcher.openJobCount(), fleetSize);
    clusterChanged();
    earlyAnswers.forEach(Runnable::run);
    earlyAnswers.clear();
    watches.add(
        new PrefixWatch(node.store(), duty, delays, StoreKeys.JOBS, new JobListener())
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
        job(item.value()).ifPresent(spec -> restore(spec, progressById.get(spec.id()), now));
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

  private static Optional<JobSpec> job(String text) {
    try {
      return Optional.of(Json.read(text, JobSpec.class));
    } catch (MalformedMessageException e) {
      LOG.errorf("event=job-unreadable reason=%s", e.getMessage());
      return Optional.empty();
    }
  }

  private final class JobListener implements PrefixWatch.Listener {
    @Override
    public void read(List<StoreItem> items) {
      items.forEach(item -> take(item.key(), item.value()));
    }

    @Override
    public void changed(StoreEvent event) {
      event.value().ifPresent(value -> take(event.key(), value));
    }

    private void take(String key, String value) {
      long now = NodeContext.nowMs();
      if (StoreKeys.isCancel(key)) {
        dispatcher.jobCancelled(StoreKeys.jobId(key), now);
      } else {
        job(value).ifPresent(spec -> dispatcher.jobSubmitted(spec, now));
      }
      pumpSoon();
    }
  }

  private final class WorkerListener implements PrefixWatch.Listener {
    private final Set<String> registered = new HashSet<>();

    @Override
    public void read(List<StoreItem> items) {
      Set<String> gone = new HashSet<>(registered);
      for (StoreItem item : items) {
        gone.remove(node.codec().workerId(item.key()));
        put(item.key(), item.value());
      }
      gone.forEach(this::remove);
      pumpSoon();
    }

    @Override
    public void changed(StoreEvent event) {
      if (event.value().isPresent()) {
        put(event.key(), event.value().get());
      } else {
        remove(node.codec().workerId(event.key()));
      }
      pumpSoon();
    }

    private void put(String key, String value) {
      Optional<WorkerRegistration> worker = node.codec().worker(key, value);
      if (worker.isPresent()) {
        registered.add(worker.get().id());
        dispatcher.workerRegistered(worker.get(), NodeContext.nowMs());
      } else {
        LOG.warnf("event=registration-unreadable key=%s", key);
      }
    }

    private void remove(String id) {
      registered.remove(id);
      dispatcher.workerUnregistered(id, NodeContext.nowMs());
    }
  }

  /** Hands the operators' wishes to the dispatcher. */
  void clusterChanged() {
    dispatcher.configure(cluster.config(), NodeContext.nowMs());
    dispatcher.withdrawZones(cluster.withdrawnZones());
    pumpSoon();
  }

  /** Stops or resumes starting tasks while it is uncertain whether the ownership still holds. */
  void holdStarts(boolean hold) {
    dispatcher.holdStarts(hold);
    pumpSoon();
  }

  /** Decides and sends orders after the events that wait already. */
  void pumpSoon() {
    if (!pumping && fleetKnown && !closed) {
      pumping = true;
      duty.execute(this::pump);
    }
  }

  private void pump() {
    pumping = false;
    long startedNanos = System.nanoTime();
    // Postponed to an event or a tick after the pause: under load one round serves many events.
    if (closed || startedNanos < nextPumpNanos) {
      return;
    }
    decideAndSend();
    long spentNanos = System.nanoTime() - startedNanos;
    nextPumpNanos = startedNanos + (1 + PAUSE_FACTOR) * spentNanos;
  }

  private void decideAndSend() {
    long now = NodeContext.nowMs();
    if (!loaded) {
      dispatcher.renewInheritedLeases(now).forEach(order -> send(order, now));
      return;
    }
    dispatcher.decide(now, NodeContext.wallMs()).forEach(order -> send(order, now));
    keeper.keep();
    if (dispatcher.isFenced()) {
      ownership.fenced();
    }
  }

  private void send(DispatchCommand order, long sentMs) {
    if (order instanceof DispatchCommand.Start start) {
      starts.inc();
      duty.onResult(
          node.workers().start(start.worker(), start.command(), start.leaseUntilMs(), fencingToken),
          reply ->
              answered(
                  () -> {
                    long now = NodeContext.nowMs();
                    startAnswers.update(now - sentMs, TimeUnit.MILLISECONDS);
                    dispatcher.startAnswered(start, reply, now);
                  }));
    } else if (order instanceof DispatchCommand.Stop stop) {
      log.logDecision("stop-ordered", stop.task() + "#" + stop.number(), "");
      duty.onResult(
          node.workers().stop(stop.worker(), stop.task(), stop.number(), fencingToken),
          reply -> answered(() -> dispatcher.stopAnswered(stop, reply, NodeContext.nowMs())));
    } else if (order instanceof DispatchCommand.LimitCpu pace) {
      log.logDecision("run-paced", pace.task() + "#" + pace.number(), "percent=" + pace.percent());
      duty.onResult(
          node.workers()
              .limitCpu(pace.worker(), pace.task(), pace.number(), pace.percent(), fencingToken),
          reply -> answered(() -> dispatcher.cpuLimitAnswered(pace, reply, NodeContext.nowMs())));
    } else if (order instanceof DispatchCommand.Poll look) {
      duty.onResult(
          node.workers()
              .poll(
                  look.worker(),
                  look.leaseUntilMs(),
                  look.acknowledged(),
                  look.waitMs(),
                  fencingToken),
          reply ->
              answered(
                  () ->
                      dispatcher.pollAnswered(look.worker(), reply, sentMs, NodeContext.nowMs())));
    }
  }

  private void answered(Runnable action) {
    if (closed) {
      return;
    }
    if (loaded) {
      action.run();
      pumpSoon();
    } else {
      earlyAnswers.add(action);
    }
  }

  private void unlessClosed(Runnable action) {
    if (!closed) {
      action.run();
    }
  }

  /** Returns the number of jobs of a queue that wait; empty while the jobs are being read. */
  Optional<Integer> pendingJobs(String queue) {
    return loaded ? Optional.of(dispatcher.queuedJobCount(queue)) : Optional.empty();
  }

  /** Returns what callers may be told of a job; empty if it is not known yet. */
  Optional<JobStatus> shownStatus(String jobId) {
    return loaded ? dispatcher.visibleStatus(jobId) : Optional.empty();
  }

  /** Returns whether all progress is kept. */
  boolean isKept() {
    return !loaded || keeper.isIdle();
  }

  @Override
  public void close() {
    closed = true;
    watches.forEach(PrefixWatch::close);
    keeper.close();
  }
}
