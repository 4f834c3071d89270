package org.plantainloom.coordination.dispatch;

import java.util.function.Consumer;
import org.plantainloom.coordination.dispatch.RunConclusion.Evidence;
import org.plantainloom.state.job.CommandReply;

/**
 * Applies the replies of workers to commands.
 *
 * <p>A run whose start was refused is over. One whose start was not answered may begin later, so it
 * is stopped, and only what the worker lists then tells whether it ran.
 */
final class CommandReplies {
  /** Delay before a refused start is retried; a poll in between corrects the worker's state. */
  private static final long REFUSED_START_DELAY_MS = 500;

  private final WorkerTable workers;
  private final RunLifecycle runs;
  private final DecisionLog log;
  private final Consumer<String> fencedListener;

  /**
   * Creates the handler of the replies to one owner.
   *
   * @param fencedListener receives the id of a worker that knows a newer owner
   */
  CommandReplies(
      WorkerTable workers, RunLifecycle runs, DecisionLog log, Consumer<String> fencedListener) {
    this.workers = workers;
    this.runs = runs;
    this.log = log;
    this.fencedListener = fencedListener;
  }

  void startAnswered(DispatchCommand.Start start, CommandReply reply, long nowMs) {
    Run run = start.run();
    noteDoubt(run.worker, reply);
    if (run.worker.runs.get(run.task.key) != run) {
      return;
    }
    if (reply != CommandReply.OK) {
      log.logDecision(
          "run-answered", run, "reply=" + reply + " afterMs=" + (nowMs - run.startSentMs));
    }
    switch (reply) {
      case OK -> runs.confirm(run, nowMs);
      case FENCED -> fencedListener.accept(run.worker.id());
      case UNKNOWN -> {
        // The command may still be executed later; a stop with the same run number prevents that.
        if (run.stage == Run.Stage.STARTING) {
          run.stop();
        }
      }
      case UNHEALTHY, MALFORMED, OTHER_INCARNATION -> {
        run.worker.suspend(nowMs);
        runs.drop(run, Evidence.START_REFUSED, reply.name(), nowMs);
      }
      case RUN_SUPERSEDED, TOO_LATE, NO_ROOM, NO_PERMIT -> {
        run.task.notBeforeMs = nowMs + REFUSED_START_DELAY_MS;
        runs.drop(run, Evidence.START_REFUSED, reply.name(), nowMs);
      }
    }
  }

  void stopAnswered(DispatchCommand.Stop stop, CommandReply reply, long nowMs) {
    WorkerState worker = workers.get(stop.worker().id());
    if (reply == CommandReply.FENCED) {
      fencedListener.accept(stop.worker().id());
    }
    if (worker == null) {
      return;
    }
    noteDoubt(worker, reply);
    Run run = worker.runs.get(stop.task());
    if (run == null || run.number != stop.number()) {
      return;
    }
    run.stopInFlight = false;
    if (reply == CommandReply.OK) {
      run.stopAnsweredMs = nowMs;
    }
  }

  void cpuLimitAnswered(DispatchCommand.LimitCpu limit, CommandReply reply, long nowMs) {
    WorkerState worker = workers.get(limit.worker().id());
    if (worker == null) {
      return;
    }
    noteDoubt(worker, reply);
    Run run = worker.runs.get(limit.task());
    if (run == null || run.number != limit.number()) {
      return;
    }
    run.cpuLimitChangedMs = nowMs;
    if (reply == CommandReply.OK) {
      run.cpuLimitPercent = limit.percent();
    } else {
      run.requestedCpuLimitPercent = run.cpuLimitPercent;
    }
  }

  /** Handles a call that the worker may not have answered: it may have started again. */
  private static void noteDoubt(WorkerState worker, CommandReply reply) {
    if (!reply.isFromWorker()) {
      worker.callFailed();
    }
  }
}
