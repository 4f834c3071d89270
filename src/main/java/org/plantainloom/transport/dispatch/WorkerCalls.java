package org.plantainloom.transport.dispatch;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.DispatchCommand;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.TaskWorkers;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * Sends the commands of one owner to workers. If the client fails, there is a reply all the same,
 * and the other commands of the round can be sent: the dispatcher would wait for their replies for
 * ever otherwise.
 */
final class WorkerCalls {
  private static final Logger LOG = Logger.getLogger(WorkerCalls.class);

  private static final long NOTHING_ACKNOWLEDGED = 0;

  private final TaskWorkers workers;
  private final long fencingToken;
  private final Set<String> workersWithFailedCalls = ConcurrentHashMap.newKeySet();

  WorkerCalls(TaskWorkers workers, long fencingToken) {
    this.workers = workers;
    this.fencingToken = fencingToken;
  }

  CompletableFuture<CommandReply> start(DispatchCommand.Start start) {
    return withoutFailure(
        start.worker(),
        () -> workers.start(start.worker(), start.command(), start.leaseUntilMs(), fencingToken),
        CommandReply.UNKNOWN);
  }

  CompletableFuture<CommandReply> stop(DispatchCommand.Stop stop) {
    return withoutFailure(
        stop.worker(),
        () -> workers.stop(stop.worker(), stop.task(), stop.number(), fencingToken),
        CommandReply.UNKNOWN);
  }

  CompletableFuture<CommandReply> limitCpu(DispatchCommand.LimitCpu limit) {
    return withoutFailure(
        limit.worker(),
        () ->
            workers.limitCpu(
                limit.worker(), limit.task(), limit.number(), limit.percent(), fencingToken),
        CommandReply.UNKNOWN);
  }

  CompletableFuture<PollReply> renew(DispatchCommand.Renewal renewal) {
    return poll(
        new DispatchCommand.Poll(
            renewal.worker(), Optional.of(renewal.leaseUntilMs()), NOTHING_ACKNOWLEDGED, 0));
  }

  CompletableFuture<PollReply> poll(DispatchCommand.Poll poll) {
    return withoutFailure(
        poll.worker(),
        () ->
            workers.poll(
                poll.worker(),
                poll.leaseUntilMs(),
                poll.acknowledged(),
                poll.waitMs(),
                fencingToken),
        new PollReply.Unavailable("the command failed"));
  }

  /**
   * Returns the reply to a call.
   *
   * @param failureReply the reply if the call fails; the command may have been sent
   */
  private <T> CompletableFuture<T> withoutFailure(
      WorkerRegistration worker, Supplier<CompletableFuture<T>> call, T failureReply) {
    CompletableFuture<T> reply;
    try {
      reply = call.get();
    } catch (RuntimeException e) {
      reply = CompletableFuture.failedFuture(e);
    }
    return reply.exceptionally(
        failure -> {
          logFailedCall(worker, failure);
          return failureReply;
        });
  }

  /** Logs the first failure only, as each retry is likely to fail for the same reason. */
  private void logFailedCall(WorkerRegistration worker, Throwable failure) {
    if (workersWithFailedCalls.add(worker.id())) {
      LOG.errorf(failure, "event=command-failed worker=%s", worker.id());
    }
  }
}
