package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;

/**
 * The workers of previous owners until this owner has read the jobs. It polls them at once, so that
 * the leases of running tasks can be renewed, and the store knows which of them do not answer
 * before this owner acts.
 *
 * <p>Not thread-safe. Times are in milliseconds of the monotonic clock unless named otherwise.
 */
public final class InheritedWorkers {
  /** How long the first act of an owner waits for workers; leases have more than that left. */
  private static final long FIRST_ANSWERS_MS = 400;

  private final WorkerTable workers;
  private final WorkerPolls polls;
  private final WorkerClocks clocks;
  private final ElapsedTime elapsed;
  private long readSinceMs;
  private boolean read;

  InheritedWorkers(
      WorkerTable workers, WorkerPolls polls, WorkerClocks clocks, ElapsedTime elapsed) {
    this.workers = workers;
    this.polls = polls;
    this.clocks = clocks;
    this.elapsed = elapsed;
  }

  /** Handles that all stored workers have been passed in. */
  public void allRead(long nowMs) {
    read = true;
    readSinceMs = nowMs;
  }

  /**
   * Returns polls of the registered workers known so far. The caller must hold back the answers
   * until the jobs are restored, but pass them to {@link #answered}, too.
   */
  public List<DispatchCommand> polls(long nowMs, long wallMs) {
    elapsed.advanceTo(nowMs, wallMs);
    List<DispatchCommand> commands = new ArrayList<>();
    for (WorkerState worker : workers.all()) {
      if (worker.registered) {
        polls.pollIfDue(worker, nowMs, wallMs).ifPresent(commands::add);
      }
    }
    return commands;
  }

  /**
   * Handles an answer before the jobs are restored.
   *
   * @return a renewal of the worker's lease, if that is allowed now
   */
  public Optional<DispatchCommand.Renewal> answered(
      WorkerRegistration registration, PollReply reply, long nowMs, long wallMs) {
    WorkerState worker = workers.get(registration.id());
    if (worker == null || !(reply instanceof PollReply.Answered answered)) {
      return Optional.empty();
    }
    elapsed.advanceTo(nowMs, wallMs);
    WorkerSnapshot snapshot = answered.snapshot();
    WorkerLife life = new WorkerLife(snapshot.startedAtMs(), snapshot.clockMs(), nowMs);
    worker.answeredEarly(life);
    workers.answered(worker);
    clocks.answered(worker, life, snapshot, nowMs);
    return polls.renewalIfOwner(worker, nowMs, wallMs);
  }

  /**
   * Returns renewals of the leases of all workers that have answered, once this owner may act.
   *
   * <p>After an outage of all nodes, running tasks lose their lease within seconds unless it is
   * renewed before the new owner has read the accepted jobs.
   */
  public List<DispatchCommand.Renewal> renewals(long nowMs, long wallMs) {
    return polls.renewals(workers.all(), nowMs, wallMs);
  }

  /**
   * Returns whether the list of workers can be stored with which this owner begins to act: it knows
   * which ones do not answer.
   */
  public boolean isListReady(long nowMs) {
    return read && (workers.haveInheritedOnesReplied() || nowMs - readSinceMs >= FIRST_ANSWERS_MS);
  }
}
