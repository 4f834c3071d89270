package org.plantainloom.program.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.RestorableUniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.RunState;
import org.plantainloom.state.StartCommand;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.TimeSource;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.state.WorkloadKind;

/** One worker in the small: runs tasks under leases and answers requests. */
public final class InMemoryWorker {
  private final WorkerInfo info;
  private final ExecutionLedger ledger;
  private final TimeSource time;
  private final double runTimeLies;
  private final RestorableUniformRandomProvider random;
  private final Map<TaskRef, RunningTask> tasks = new TreeMap<>();
  private Predicate<TaskRef> fails = ref -> false;
  private long fencingEpoch;
  private int requestsInFlight;

  /**
   * Creates an idle worker.
   *
   * @param info what the VM list says of it
   * @param ledger counts what really runs
   * @param time the worker's clock
   * @param runTimeLies true run times are up to this many times the declared ones, or that part
   * @param seed seed of its random choices
   */
  public InMemoryWorker(
      WorkerInfo info, ExecutionLedger ledger, TimeSource time, double runTimeLies, long seed) {
    this.info = info;
    this.ledger = ledger;
    this.time = time;
    this.runTimeLies = runTimeLies;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  /** Returns what the VM list says of the worker. */
  public WorkerInfo info() {
    return info;
  }

  /** Takes a control message and reports; refuses former owners and messages to another VM. */
  public synchronized WorkerReport sync(WorkerCommands commands) {
    advance();
    boolean accepted =
        commands.rackEpoch() >= fencingEpoch && commands.generation() == info.generation();
    if (accepted) {
      fencingEpoch = commands.rackEpoch();
      apply(commands);
    }
    return new WorkerReport(info.id(), info.generation(), fencingEpoch, accepted, reports());
  }

  private void apply(WorkerCommands commands) {
    commands.stops().forEach(this::stop);
    commands.starts().forEach(s -> start(s, commands.leaseUntilMs()));
    commands
        .renewals()
        .forEach(
            ref ->
                Optional.ofNullable(tasks.get(ref))
                    .ifPresent(t -> t.renew(commands.leaseUntilMs())));
    commands
        .throttles()
        .forEach(
            t -> Optional.ofNullable(tasks.get(t.ref())).ifPresent(r -> r.throttle(t.percent())));
    commands.forgets().forEach(this::forget);
  }

  private void start(StartCommand command, long leaseUntilMs) {
    if (tasks.containsKey(command.ref()) || time.nowMs() > command.notAfterMs()) {
      return;
    }
    double lie = Math.pow(runTimeLies, 2 * random.nextDouble() - 1);
    long trueRunMs = Math.round(command.launch().runMs() * lie);
    tasks.put(
        command.ref(),
        new RunningTask(
            command.ref(),
            command.launch(),
            trueRunMs,
            command.checkpoint(),
            RunState.RUNNING,
            leaseUntilMs,
            time.nowMs()));
    ledger.recordTaskStart(command.ref());
    checkCapacity();
    if (fails.test(command.ref())) {
      tasks.get(command.ref()).fail();
      ledger.recordTaskEnd(command.ref(), false);
    }
  }

  private void checkCapacity() {
    ResourceVector used =
        tasks.values().stream()
            .filter(RunningTask::isLive)
            .map(t -> t.launch().size())
            .reduce(ResourceVector.ZERO, ResourceVector::plus);
    if (!used.fitsIn(info.capacity())) {
      ledger.recordOvercommit();
    }
  }

  private void stop(TaskRef ref) {
    RunningTask task = tasks.get(ref);
    if (task == null) {
      tasks.put(ref, barred(ref));
      return;
    }
    boolean wasLive = task.isLive();
    task.stop();
    noteEnd(task, wasLive);
  }

  private RunningTask barred(TaskRef ref) {
    TaskLaunch nothing = new TaskLaunch(WorkloadKind.BATCH, ResourceVector.ZERO, 0, 0);
    return new RunningTask(ref, nothing, 0, 0, RunState.STOPPED, 0, time.nowMs());
  }

  private void forget(TaskRef ref) {
    RunningTask task = tasks.get(ref);
    if (task != null && !task.isLive()) {
      tasks.remove(ref);
    }
  }

  /** Sets which tasks fail as soon as they start. */
  public synchronized void failOnStart(Predicate<TaskRef> newFails) {
    fails = newFails;
  }

  /** Ends all tasks at once, as when the VM is lost. */
  public synchronized void destroy() {
    advance();
    tasks.values().stream()
        .filter(RunningTask::isLive)
        .forEach(t -> ledger.recordTaskEnd(t.ref(), false));
    tasks.clear();
  }

  /** Returns the worker's generation, fencing epoch and tasks, for people to read. */
  public synchronized String describe() {
    return info.id()
        + " generation "
        + info.generation()
        + " fencing epoch "
        + fencingEpoch
        + " "
        + reports();
  }

  /** Returns what the worker says of its tasks. */
  public synchronized List<TaskReport> reports() {
    return tasks.values().stream().map(RunningTask::report).toList();
  }

  /** Moves all tasks on to now. */
  public synchronized void advance() {
    for (RunningTask task : tasks.values()) {
      boolean wasLive = task.isLive();
      ledger.recordBatchWork(task.advance(time.nowMs()));
      noteEnd(task, wasLive);
    }
  }

  private void noteEnd(RunningTask task, boolean wasLive) {
    if (wasLive && !task.isLive()) {
      ledger.recordTaskEnd(task.ref(), task.state() == RunState.FINISHED);
    }
  }

  /** Takes a request for a replica, or returns empty if it is not run. */
  synchronized Optional<RunningTask> beginRequest(String incarnation, String requestId) {
    advance();
    if (requestsInFlight >= info.slots()) {
      return Optional.empty();
    }
    Optional<RunningTask> task =
        tasks.values().stream()
            .filter(t -> t.ref().toString().equals(incarnation))
            .filter(RunningTask::beginRequest)
            .findFirst();
    if (task.isPresent()) {
      requestsInFlight++;
      ledger.recordRequest(requestId);
    }
    return task;
  }

  synchronized void endRequest(RunningTask task) {
    requestsInFlight--;
    boolean wasLive = task.isLive();
    task.endRequest();
    noteEnd(task, wasLive);
  }

  synchronized int requestsInFlight() {
    return requestsInFlight;
  }

  /** Returns how long a request takes: longer with batch work beside it, with a random tail. */
  synchronized long requestMs(int meanMs) {
    int busyCpu =
        tasks.values().stream()
            .filter(t -> t.isLive() && t.launch().kind() == WorkloadKind.BATCH)
            .mapToInt(t -> t.launch().size().cpuMillis())
            .sum();
    double interference = 1 + (double) busyCpu / info.capacity().cpuMillis();
    double tail = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
    return Math.round(meanMs * interference * tail);
  }
}
