package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.RunOutcome;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;

/** A worker that does what its protocol says, fencing included. */
final class HandoverWorker {
  private record RunningTask(long run, long startMs, long endMs) {
    int percent(long nowMs) {
      return (int) (100 * (nowMs - startMs) / (endMs - startMs));
    }
  }

  private record ListedEnd(EndedRun run, long endedMs) {}

  private final String id;
  private final int zone;
  private final LongSupplier clock;
  private final IntSupplier runTimes;
  private final int listLimit;
  private final RunLedger ledger;
  boolean registered = true;
  boolean draining;
  long silentUntilMs;
  private final Map<TaskKey, RunningTask> running = new HashMap<>();
  private final Map<TaskKey, Long> closedRuns = new HashMap<>();
  private final List<ListedEnd> ended = new ArrayList<>();
  private long startedAtMs = 7;
  private long downUntilMs;
  private long clockOriginMs;
  private String kind = "a";
  private long token;
  private long leaseUntilMs;
  private long lastEnd;

  /**
   * The last end that was listed when the lease had lapsed. Acknowledging such an end later does
   * not count: the platform allows the task to run again once the lease has lapsed.
   */
  private long lastEndBeforeLapse;

  /**
   * Creates a worker.
   *
   * @param zone the worker's availability zone
   * @param clock the worker's own clock in milliseconds
   * @param runTimes provides how long each run takes, in milliseconds
   * @param listLimit how many ended runs one reply lists at most
   * @param ledger receives what the worker runs
   */
  HandoverWorker(
      String id,
      int zone,
      LongSupplier clock,
      IntSupplier runTimes,
      int listLimit,
      RunLedger ledger) {
    this.id = id;
    this.zone = zone;
    this.clock = clock;
    this.runTimes = runTimes;
    this.listLimit = listLimit;
    this.ledger = ledger;
  }

  String id() {
    return id;
  }

  int zone() {
    return zone;
  }

  Set<TaskKey> runningTasks() {
    return running.keySet();
  }

  /** Returns when the current life of the worker began. */
  long startedAtMs() {
    return startedAtMs;
  }

  private long now() {
    return clock.getAsLong() - clockOriginMs;
  }

  WorkerRegistration registration() {
    return new WorkerRegistration(
        id,
        "service",
        id + ":1",
        "zone-1",
        draining,
        new ResourceVector(8_000, 32_000, 0),
        List.of(kind, "r1"),
        startedAtMs,
        now());
  }

  /** Whether the process has crashed and its successor under the same id is not up yet. */
  boolean isDown() {
    return ledger.now() < downUntilMs;
  }

  /** Crashes, and begins another life under the same id, which knows nothing of the one before. */
  void restart(String newKind, long downMs) {
    startedAtMs = ledger.now() + downMs;
    downUntilMs = startedAtMs;
    clockOriginMs = clock.getAsLong() + downMs;
    kind = newKind;
    running.clear();
    closedRuns.clear();
    ended.clear();
    token = 0;
    leaseUntilMs = 0;
    lastEnd = 0;
    lastEndBeforeLapse = 0;
  }

  void advance() {
    if (now() > leaseUntilMs) {
      lastEndBeforeLapse = lastEnd;
    }
    for (TaskKey task : List.copyOf(running.keySet())) {
      if (now() > leaseUntilMs) {
        end(task, RunOutcome.LEASE_LAPSED);
      } else if (now() >= running.get(task).endMs()) {
        end(task, RunOutcome.DONE);
      }
    }
  }

  private void end(TaskKey task, RunOutcome outcome) {
    long run = running.remove(task).run();
    closedRuns.merge(task, run, Math::max);
    ended.add(new ListedEnd(new EndedRun(++lastEnd, task, run, outcome, ""), ledger.now()));
  }

  /**
   * Executes a command and returns what the owner does with the reply.
   *
   * @param sentMs when the command was sent, on the owner's clock
   */
  Runnable execute(HandoverOwner owner, DispatchCommand command, long sentMs) {
    boolean fenced = owner.term() < token;
    token = Math.max(token, owner.term());
    Dispatcher dispatcher = owner.dispatcher();
    if (command instanceof DispatchCommand.Start start) {
      CommandReply reply = fenced ? CommandReply.FENCED : start(start);
      return () -> dispatcher.startAnswered(start, reply, owner.time());
    } else if (command instanceof DispatchCommand.Stop stop) {
      if (!fenced) {
        stop(stop);
      }
      CommandReply reply = fenced ? CommandReply.FENCED : CommandReply.OK;
      return () -> dispatcher.stopAnswered(stop, reply, owner.time());
    } else if (command instanceof DispatchCommand.Renewal renewal) {
      if (!fenced) {
        extendLease(renewal.leaseUntilMs());
      }
    } else if (command instanceof DispatchCommand.Poll poll) {
      PollReply reply = fenced ? new PollReply.Fenced() : poll(poll);
      return () -> dispatcher.pollAnswered(registration(), reply, sentMs, owner.time());
    }
    return () -> {};
  }

  private CommandReply start(DispatchCommand.Start start) {
    TaskKey task = start.command().task();
    long run = start.command().run();
    RunningTask present = running.get(task);
    if (present != null && present.run() == run) {
      return CommandReply.OK;
    }
    if (start.leaseUntilMs() < now()) {
      return CommandReply.TOO_LATE;
    }
    extendLease(start.leaseUntilMs());
    if (run <= closedRuns.getOrDefault(task, 0L) || present != null) {
      return CommandReply.RUN_SUPERSEDED;
    }
    ledger.started(task, run, id);
    running.put(task, new RunningTask(run, now(), now() + runTimes.getAsInt()));
    return CommandReply.OK;
  }

  private void extendLease(long untilMs) {
    leaseUntilMs =
        Math.max(leaseUntilMs, Math.min(untilMs, now() + HandoverSimulation.MAX_LEASE_MS));
  }

  private void stop(DispatchCommand.Stop stop) {
    closedRuns.merge(stop.task(), stop.number(), Math::max);
    RunningTask present = running.get(stop.task());
    if (present != null && present.run() <= stop.number()) {
      end(stop.task(), RunOutcome.STOPPED);
    }
  }

  private PollReply poll(DispatchCommand.Poll poll) {
    poll.leaseUntilMs().ifPresent(this::extendLease);
    for (ListedEnd end : ended) {
      long number = end.run().sequenceNumber();
      if (number <= poll.acknowledged()
          && number > lastEndBeforeLapse
          && end.run().kind() == RunOutcome.DONE) {
        ledger.doneAcknowledged(end.run().task(), end.run().run(), end.endedMs(), id);
      }
    }
    ended.removeIf(end -> end.run().sequenceNumber() <= poll.acknowledged());
    List<ActiveRun> runs = new ArrayList<>();
    running.forEach(
        (task, run) -> runs.add(new ActiveRun(task, run.run(), "", run.percent(now()), 1_000)));
    List<EndedRun> ends = ended.stream().limit(listLimit).map(ListedEnd::run).toList();
    return new PollReply.Answered(
        new WorkerSnapshot(now(), startedAtMs, runs, ends, ends.size() < listLimit));
  }
}
