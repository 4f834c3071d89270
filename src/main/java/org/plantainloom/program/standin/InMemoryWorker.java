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

/** A worker in memory that runs tasks under leases and serves requests. */
public final class InMemoryWorker {
  private final WorkerInfo info;
  private final ExecutionLedger ledger;
  private final TimeSource time;
  private final double runTimeErrorFactor;
  private final RestorableUniformRandomProvider random;
  private final Map<TaskRef, InMemoryTask> tasks = new TreeMap<>();
  private Predicate<TaskRef> failsOnStart = ref -> false;
  private long fencingEpoch;
  private int requestsInFlight;

  /**
   * Creates an idle worker.
   *
   * @param info its entry in the VM list
   * @param ledger counts what the worker actually runs
   * @param time the worker's clock
   * @param runTimeErrorFactor largest factor by which the actual run time of a batch task is longer
   *     or shorter than the declared one
   * @param seed seed of its random number generator
   */
  public InMemoryWorker(
      WorkerInfo info,
      ExecutionLedger ledger,
      TimeSource time,
      double runTimeErrorFactor,
      long seed) {
    this.info = info;
    this.ledger = ledger;
    this.time = time;
    this.runTimeErrorFactor = runTimeErrorFactor;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  /** Returns the worker's entry in the VM list. */
  public WorkerInfo info() {
    return info;
  }

  /**
   * Applies a control message and reports the state of all tasks. Rejects the commands of former
   * rack owners, and those for another generation of the VM.
   */
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
    double runTimeError = Math.pow(runTimeErrorFactor, 2 * random.nextDouble() - 1);
    long actualRunMs = Math.round(command.launch().runMs() * runTimeError);
    tasks.put(
        command.ref(),
        new InMemoryTask(
            command.ref(),
            command.launch(),
            actualRunMs,
            command.checkpoint(),
            RunState.RUNNING,
            leaseUntilMs,
            time.nowMs()));
    ledger.recordTaskStart(command.ref());
    checkCapacity();
    if (failsOnStart.test(command.ref())) {
      tasks.get(command.ref()).fail();
      ledger.recordTaskEnd(command.ref(), false);
    }
  }

  private void checkCapacity() {
    ResourceVector used =
        tasks.values().stream()
            .filter(InMemoryTask::isLive)
            .map(t -> t.launch().size())
            .reduce(ResourceVector.ZERO, ResourceVector::plus);
    if (!used.fitsIn(info.capacity())) {
      ledger.recordOvercommit();
    }
  }

  private void stop(TaskRef ref) {
    InMemoryTask task = tasks.get(ref);
    if (task == null) {
      tasks.put(ref, stoppedBeforeStart(ref));
      return;
    }
    boolean wasLive = task.isLive();
    task.stop();
    recordEnd(task, wasLive);
  }

  // A stop may overtake the start of the same task; this entry prevents a later start.
  private InMemoryTask stoppedBeforeStart(TaskRef ref) {
    TaskLaunch emptyLaunch = new TaskLaunch(WorkloadKind.BATCH, ResourceVector.ZERO, 0, 0);
    return new InMemoryTask(ref, emptyLaunch, 0, 0, RunState.STOPPED, 0, time.nowMs());
  }

  private void forget(TaskRef ref) {
    InMemoryTask task = tasks.get(ref);
    if (task != null && !task.isLive()) {
      tasks.remove(ref);
    }
  }

  /** Sets which tasks fail immediately after they start. */
  public synchronized void failOnStart(Predicate<TaskRef> condition) {
    failsOnStart = condition;
  }

  /** Ends all tasks immediately, as if the VM were lost. */
  public synchronized void destroy() {
    advance();
    tasks.values().stream()
        .filter(InMemoryTask::isLive)
        .forEach(t -> ledger.recordTaskEnd(t.ref(), false));
    tasks.clear();
  }

  /** Returns a readable description of the worker's generation, fencing epoch and tasks. */
  public synchronized String describe() {
    return info.id()
        + " generation "
        + info.generation()
        + " fencing epoch "
        + fencingEpoch
        + " "
        + reports();
  }

  /** Returns the state of all tasks known to the worker. */
  public synchronized List<TaskReport> reports() {
    return tasks.values().stream().map(InMemoryTask::report).toList();
  }

  /** Advances all tasks to the current time. */
  public synchronized void advance() {
    for (InMemoryTask task : tasks.values()) {
      boolean wasLive = task.isLive();
      ledger.recordBatchWork(task.advance(time.nowMs()));
      recordEnd(task, wasLive);
    }
  }

  private void recordEnd(InMemoryTask task, boolean wasLive) {
    if (wasLive && !task.isLive()) {
      ledger.recordTaskEnd(task.ref(), task.state() == RunState.FINISHED);
    }
  }

  /** Starts a request on a replica, or returns empty if the worker cannot run it. */
  synchronized Optional<InMemoryTask> beginRequest(String incarnation, String requestId) {
    advance();
    if (requestsInFlight >= info.slots()) {
      return Optional.empty();
    }
    Optional<InMemoryTask> task =
        tasks.values().stream()
            .filter(t -> t.ref().toString().equals(incarnation))
            .filter(InMemoryTask::beginRequest)
            .findFirst();
    if (task.isPresent()) {
      requestsInFlight++;
      ledger.recordRequest(requestId);
    }
    return task;
  }

  synchronized void endRequest(InMemoryTask task) {
    requestsInFlight--;
    boolean wasLive = task.isLive();
    task.endRequest();
    recordEnd(task, wasLive);
  }

  synchronized int requestsInFlight() {
    return requestsInFlight;
  }

  /**
   * Returns a random duration for a request: the mean is scaled up by the share of the CPU that
   * batch tasks use, and the distribution has an exponential tail.
   */
  synchronized long requestMs(int meanMs) {
    int batchCpuMillis =
        tasks.values().stream()
            .filter(t -> t.isLive() && t.launch().kind() == WorkloadKind.BATCH)
            .mapToInt(t -> t.launch().size().cpuMillis())
            .sum();
    double interference = 1 + (double) batchCpuMillis / info.capacity().cpuMillis();
    double randomFactor = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
    return Math.round(meanMs * interference * randomFactor);
  }
}
