package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.QueueConfig;
import org.plantainloom.state.job.TaskKey;

/**
 * A dispatcher with model workers in virtual time; what it wants kept is kept unless told not to.
 */
final class DispatchSession {
  static final long MAX_LEASE_MS = 6_000;
  static final long STOP_GRACE_MS = 400;
  private static final long STEP_MS = 10;

  final List<ModelWorker> workers = new ArrayList<>();
  final List<String> log = new ArrayList<>();
  final Map<String, JobProgress> kept = new HashMap<>();
  final List<DispatchCommand> orders = new ArrayList<>();
  ModelWorker.Disturbance disturbance = (serving, fill) -> 0;
  double workMs = 200;
  boolean keeping = true;
  long nowMs = 1_000_000;
  Dispatcher dispatcher;
  private final List<Look> looks = new ArrayList<>();
  private List<FleetMember> keptFleet = List.of();
  private long revision;

  private record Look(DispatchCommand.Poll order, ModelWorker worker, long sentMs) {}

  DispatchSession(int workerCount, int cores) {
    for (int i = 0; i < workerCount; i++) {
      workers.add(new ModelWorker("w" + i, cores));
    }
    begin(1);
  }

  /** Starts a new owner that knows the fleet, but not the queues yet. */
  DispatchSession beginWithoutConfig(long term) {
    return begin(term, ClusterConfig.UNKNOWN);
  }

  /** Starts a new owner; the workers run on. */
  DispatchSession begin(long term) {
    return begin(term, config());
  }

  private DispatchSession begin(long term, ClusterConfig config) {
    dispatcher =
        new Dispatcher(
            term,
            DispatchPolicy.of(MAX_LEASE_MS, STOP_GRACE_MS),
            (event, subject, detail) -> log.add(nowMs + " " + event + " " + subject + " " + detail),
            nowMs);
    dispatcher.configure(config, nowMs);
    keptFleet.forEach(member -> dispatcher.workerInherited(member, nowMs));
    workers.forEach(worker -> dispatcher.workerRegistered(worker.entry, nowMs));
    looks.clear();
    keepFleet();
    return this;
  }

  static ClusterConfig config() {
    return new ClusterConfig(1, List.of(queue("urgent", 0), queue("fill", 2)), List.of(), 10_000);
  }

  private static QueueConfig queue(String name, int priority) {
    return new QueueConfig(
        name, "host", "/" + name + "/", "service", priority, 3, 1.5, 300, 3_000, false);
  }

  static JobSpec job(String id, String queue, PhaseSpec... phases) {
    return new JobSpec(id, queue, "text", List.of(phases), 0, 0, 0, 0);
  }

  static PhaseSpec tasks(int count, int cpuMillis, int... after) {
    return phase(count, cpuMillis, "", false, false, after);
  }

  static PhaseSpec serving(int count, int cpuMillis, String image) {
    return phase(count, cpuMillis, image, true, false);
  }

  static PhaseSpec fill(int count, int cpuMillis, String image, int... after) {
    return phase(count, cpuMillis, image, false, true, after);
  }

  private static PhaseSpec phase(
      int count, int cpuMillis, String image, boolean lasting, boolean fills, int... after) {
    List<Integer> before = new ArrayList<>();
    for (int index : after) {
      before.add(index);
    }
    return new PhaseSpec(
        count,
        new ResourceVector(cpuMillis, 100, 0),
        500,
        before,
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        lasting,
        image,
        lasting && !image.isEmpty() ? 18 : 0,
        fills,
        -1);
  }

  DispatchSession submit(JobSpec job) {
    dispatcher.jobSubmitted(job, nowMs);
    return this;
  }

  DispatchSession run(long ms) {
    long end = nowMs + ms;
    while (nowMs < end) {
      nowMs += STEP_MS;
      workers.forEach(worker -> worker.work(nowMs, STEP_MS, disturbance));
      answerLooks();
      keep();
      List<DispatchCommand> next = dispatcher.decide(nowMs, nowMs);
      orders.addAll(next);
      next.forEach(this::send);
    }
    return this;
  }

  private void keepFleet() {
    dispatcher
        .unpersistedFleet()
        .ifPresent(
            fleet -> {
              keptFleet = fleet;
              dispatcher.fleetPersisted(fleet);
            });
  }

  private void keep() {
    keepFleet();
    Optional<ProgressBatch> batch = keeping ? dispatcher.unpersistedProgress() : Optional.empty();
    if (batch.isPresent()) {
      batch.get().entries().forEach(entry -> kept.put(entry.jobId(), entry.progress()));
      dispatcher.progressPersisted(batch.get(), ++revision);
    }
  }

  private void answerLooks() {
    for (Iterator<Look> it = looks.iterator(); it.hasNext(); ) {
      Look look = it.next();
      ModelWorker worker = look.worker();
      boolean due = nowMs >= look.sentMs() + look.order().waitMs() || !worker.ended.isEmpty();
      if (worker.silent && nowMs >= look.sentMs() + look.order().waitMs()) {
        it.remove();
        dispatcher.pollAnswered(
            worker.entry, new PollReply.Unavailable("silent"), look.sentMs(), nowMs);
      } else if (!worker.silent && due) {
        it.remove();
        dispatcher.pollAnswered(
            worker.entry, new PollReply.Answered(worker.look(nowMs)), look.sentMs(), nowMs);
      }
    }
  }

  private void send(DispatchCommand order) {
    ModelWorker worker =
        workers.stream().filter(w -> w.entry.id().equals(order.worker().id())).findFirst().get();
    if (order instanceof DispatchCommand.Start start) {
      dispatcher.startAnswered(start, worker.start(start, workMs), nowMs);
    } else if (order instanceof DispatchCommand.Stop stop) {
      dispatcher.stopAnswered(stop, worker.stop(stop), nowMs);
    } else if (order instanceof DispatchCommand.LimitCpu pace) {
      worker.pace(pace);
      dispatcher.cpuLimitAnswered(pace, CommandReply.OK, nowMs);
    } else if (order instanceof DispatchCommand.Poll look) {
      if (!worker.silent) {
        look.leaseUntilMs().ifPresent(l -> worker.leaseUntilMs = Math.max(worker.leaseUntilMs, l));
        worker.acknowledge(look.acknowledged());
      }
      looks.add(new Look(look, worker, nowMs));
    }
  }

  JobStatus status(String jobId) {
    return kept.getOrDefault(jobId, JobProgress.NONE).status();
  }

  int running() {
    return workers.stream().mapToInt(worker -> worker.running.size()).sum();
  }

  int startsOf(TaskKey task) {
    return workers.stream().mapToInt(worker -> worker.starts.getOrDefault(task, 0)).sum();
  }

  long copiesOf(TaskKey task) {
    return workers.stream().filter(worker -> worker.running.containsKey(task)).count();
  }
}
