package org.plantainloom.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The planner's record of a task.
 *
 * @param id the task
 * @param incarnation the current incarnation; 0 before the first binding
 * @param phase its state in the planner's queue
 * @param rack the rack it is bound to
 * @param worker the worker it is bound to
 * @param checkpoint progress to resume from, in milliseconds of work
 * @param failures number of failures so far
 * @param notBeforeMs when it may be placed again, in milliseconds since the epoch
 * @param pendingSinceMs when it last became pending, in milliseconds since the epoch
 * @param avoided workers on which it failed
 */
public record TaskRecord(
    TaskId id,
    int incarnation,
    TaskPhase phase,
    Optional<RackId> rack,
    Optional<WorkerId> worker,
    long checkpoint,
    int failures,
    long notBeforeMs,
    long pendingSinceMs,
    List<WorkerId> avoided) {

  /** Creates the record with a copy of its list. */
  public TaskRecord {
    avoided = List.copyOf(avoided);
  }

  /** Returns the record of a new task that waits for its first binding. */
  public static TaskRecord pending(TaskId id, long nowMs) {
    return new TaskRecord(
        id,
        0,
        TaskPhase.PENDING,
        Optional.empty(),
        Optional.empty(),
        0,
        0,
        nowMs,
        nowMs,
        List.of());
  }

  /** Returns the current incarnation. */
  public TaskRef ref() {
    return new TaskRef(id, incarnation);
  }

  /** Returns a copy bound to a worker as its next incarnation. */
  public TaskRecord boundTo(RackId newRack, WorkerId newWorker) {
    return new TaskRecord(
        id,
        incarnation + 1,
        TaskPhase.BOUND,
        Optional.of(newRack),
        Optional.of(newWorker),
        checkpoint,
        failures,
        notBeforeMs,
        pendingSinceMs,
        avoided);
  }

  /** Returns a copy that is pending again and resumes from the checkpoint. */
  public TaskRecord pendingAgain(long newCheckpoint, long newNotBeforeMs, long nowMs) {
    return new TaskRecord(
        id,
        incarnation,
        TaskPhase.PENDING,
        Optional.empty(),
        Optional.empty(),
        Math.max(checkpoint, newCheckpoint),
        failures,
        newNotBeforeMs,
        nowMs,
        avoided);
  }

  /** Returns a copy with one more failure, on that worker. */
  public TaskRecord failedOn(WorkerId failedWorker) {
    List<WorkerId> newAvoided = new ArrayList<>(avoided);
    if (!newAvoided.contains(failedWorker)) {
      newAvoided.add(failedWorker);
    }
    return new TaskRecord(
        id,
        incarnation,
        phase,
        rack,
        worker,
        checkpoint,
        failures + 1,
        notBeforeMs,
        pendingSinceMs,
        newAvoided);
  }

  /** Returns a copy that is no longer placed. */
  public TaskRecord asSetAside() {
    return new TaskRecord(
        id,
        incarnation,
        TaskPhase.SET_ASIDE,
        Optional.empty(),
        Optional.empty(),
        checkpoint,
        failures,
        notBeforeMs,
        pendingSinceMs,
        avoided);
  }
}
