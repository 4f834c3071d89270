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

  final String id;
  final int zone;
  private final LongSupplier clock;
  private final IntSupplier runTimes;
  private final Set<TaskKey> persistedEnds;
  private final List<String> violations;
  boolean registered = true;
  boolean draining;
  final Map<TaskKey, RunningTask> running = new HashMap<>();
  private final Map<TaskKey, Long> closedRuns = new HashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();
  long silentUntilMs;
  int cutFromTerm = Integer.MAX_VALUE;
  long cutUntilMs;
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
   * @param persistedEnds tasks whose end was acknowledged; they must not run again
   * @param violations receives what was broken
   */
  HandoverWorker(
      String id,
      int zone,
      LongSupplier clock,
      IntSupplier runTimes,
      Set<TaskKey> persistedEnds,
      List<String> violations) {
    this.id = id;
    this.zone = zone;
    this.clock = clock;
    this.runTimes = runTimes;
    this.persistedEnds = persistedEnds;
    this.violations = violations;
  }

  private long now() {
    return clock.getAsLong();
  }

  boolean isCutFrom(int term, long timeMs) {
    return term >= cutFromTerm && timeMs < cutUntilMs;
  }

  WorkerRegistration registration() {
    return new WorkerRegistration(
        id,
        "service",
        id + ":1",
        "zone-1",
        draining,
        new ResourceVector(8_000, 32_000, 0),
        List.of("a", "r1"),
        7,
        now());
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
    ended.add(new EndedRun(++lastEnd, task, run, outcome, ""));
  }

  /**
   * Executes a command and returns what the owner does with the reply.
   *
   * @param sentMs when the command was sent, on the owner's clock
   */
  Runnable execute(
      int term,
      Dispatcher dispatcher,
      DispatchCommand command,
      long sentMs,
      LongSupplier ownerClock) {
    boolean fenced = term < token;
    token = Math.max(token, term);
    if (command instanceof DispatchCommand.Start start) {
      CommandReply reply = fenced ? CommandReply.FENCED : start(start);
      return () -> dispatcher.startAnswered(start, reply, ownerClock.getAsLong());
    } else if (command instanceof DispatchCommand.Stop stop) {
      if (!fenced) {
        stop(stop);
      }
      CommandReply reply = fenced ? CommandReply.FENCED : CommandReply.OK;
      return () -> dispatcher.stopAnswered(stop, reply, ownerClock.getAsLong());
    } else if (command instanceof DispatchCommand.Poll poll) {
      PollReply reply = fenced ? new PollReply.Fenced() : poll(poll);
      return () -> dispatcher.pollAnswered(registration(), reply, sentMs, ownerClock.getAsLong());
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
    leaseUntilMs =
        Math.max(
            leaseUntilMs, Math.min(start.leaseUntilMs(), now() + HandoverSimulation.MAX_LEASE_MS));
    if (run <= closedRuns.getOrDefault(task, 0L) || present != null) {
      return CommandReply.RUN_SUPERSEDED;
    }
    if (persistedEnds.contains(task)) {
      violations.add(task + "#" + run + " starts after its end was persisted");
    }
    running.put(task, new RunningTask(run, now(), now() + runTimes.getAsInt()));
    return CommandReply.OK;
  }

  private void stop(DispatchCommand.Stop stop) {
    closedRuns.merge(stop.task(), stop.number(), Math::max);
    RunningTask present = running.get(stop.task());
    if (present != null && present.run() <= stop.number()) {
      end(stop.task(), RunOutcome.STOPPED);
    }
  }

  private PollReply poll(DispatchCommand.Poll poll) {
    poll.leaseUntilMs()
        .ifPresent(
            until ->
                leaseUntilMs =
                    Math.max(
                        leaseUntilMs, Math.min(until, now() + HandoverSimulation.MAX_LEASE_MS)));
    for (EndedRun end : ended) {
      if (end.sequenceNumber() <= poll.acknowledged()
          && end.sequenceNumber() > lastEndBeforeLapse
          && end.kind() == RunOutcome.DONE) {
        persistedEnds.add(end.task());
      }
    }
    ended.removeIf(end -> end.sequenceNumber() <= poll.acknowledged());
    List<ActiveRun> runs = new ArrayList<>();
    running.forEach(
        (task, run) -> runs.add(new ActiveRun(task, run.run(), "", run.percent(now()), 1_000)));
    return new PollReply.Answered(new WorkerSnapshot(now(), 7, runs, List.copyOf(ended)));
  }
}
