package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.TaskKey;

/**
 * The scheduler's view of one phase of one occurrence of a job.
 *
 * <p>Only a task that has been started, or may have been, has state of its own; it is tracked. Any
 * other is a bit, so that a phase of thousands of tasks costs no more than those that run.
 */
final class PhaseState {
  final OccurrenceState occurrence;
  final JobState job;
  final int index;
  final PhaseSpec spec;
  final String imageKey;
  private final BitSet done = new BitSet(0);

  /** For tasks that last, which of them have run, under this owner or a previous one. */
  private final BitSet begun = new BitSet(0);

  private final TreeMap<Integer, TaskState> tracked = new TreeMap<>();
  private int doneCount;

  /** Room for one more task, sampled while tasks that have run before have no run. */
  final SeenRoom seenRoom = new SeenRoom();

  PhaseState(OccurrenceState occurrence, int index) {
    this.occurrence = occurrence;
    this.job = occurrence.job;
    this.index = index;
    this.spec = job.spec.phases().get(index);
    this.imageKey = job.imageKey(index);
  }

  boolean isDone() {
    return doneCount == spec.count();
  }

  boolean isDone(int task) {
    return done.get(task);
  }

  boolean hasBegun(int task) {
    return begun.get(task);
  }

  BitSet doneBits() {
    return done;
  }

  BitSet begunBits() {
    return begun;
  }

  /** Returns the tasks that have state of their own. */
  Collection<TaskState> trackedTasks() {
    return tracked.values();
  }

  /** Returns a task, which is only kept if it is {@link TaskState#track tracked}. */
  TaskState task(int task) {
    TaskState known = tracked.get(task);
    return known != null
        ? known
        : new TaskState(new TaskKey(job.spec.id(), occurrence.number, index, task), this);
  }

  void track(TaskState task) {
    if (tracked.putIfAbsent(task.key.index(), task) == null) {
      job.keepOpen(occurrence);
    }
  }

  /** Forgets the state of a task that needs none any more. */
  void untrackIfOver(TaskState task) {
    if ((task.isDone() || job.isFinished()) && !task.mayRun()) {
      tracked.remove(task.key.index(), task);
      job.closeIfOver(occurrence);
    }
  }

  boolean isReady(long wallMs) {
    if (isDone() || wallMs < job.spec.dueMs(occurrence.number)) {
      return false;
    }
    for (int before : spec.after()) {
      if (!occurrence.phases.get(before).isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether any task has a run, or may have one on a worker that does not answer. */
  boolean mayRun() {
    for (TaskState task : tracked.values()) {
      if (task.mayRun()) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many tasks have never been started, as far as this owner knows. */
  int untouchedCount() {
    int touched = doneCount;
    for (TaskState task : tracked.values()) {
      touched += task.isDone() ? 0 : 1;
    }
    return spec.count() - touched;
  }

  /** Returns tasks that have never been started, from an index on and then from the first one. */
  List<TaskState> untouched(int from, int limit) {
    List<TaskState> untouched = new ArrayList<>();
    int wanted = Math.min(limit, untouchedCount());
    for (int index = from; untouched.size() < wanted; index++) {
      int task = index % spec.count();
      if (!done.get(task) && !tracked.containsKey(task)) {
        untouched.add(task(task));
      }
    }
    return untouched;
  }

  /** Returns whether any task is waiting for a worker. */
  boolean hasWaitingTask(long nowMs) {
    return hasWaitingTask(nowMs, true);
  }

  /**
   * Returns whether any task is waiting for a worker.
   *
   * @param failing whether tasks that keep failing count
   */
  boolean hasWaitingTask(long nowMs, boolean failing) {
    for (TaskState task : tracked.values()) {
      if (task.isWaiting(nowMs) && (failing || !task.keepsFailing())) {
        return true;
      }
    }
    return untouchedCount() > 0;
  }

  /** Returns whether any task has no run, be it that it waits or is held back. */
  boolean hasTaskWithoutRun() {
    for (TaskState task : tracked.values()) {
      if (!task.isDone() && task.runs.isEmpty()) {
        return true;
      }
    }
    return untouchedCount() > 0;
  }

  /**
   * Returns tasks that are waiting for a worker, those that keep failing after the others; for a
   * gang, all of its tasks or none.
   *
   * @param first whether those that {@link #goesFirst go first} are returned, or the others
   * @param limit how many are returned at the most, but for a gang
   */
  List<TaskState> waitingTasks(boolean first, long nowMs, int limit) {
    boolean anyGoesFirst = spec.lasting() && seenRoom.isFrequent();
    if (first && !anyGoesFirst) {
      return List.of();
    }
    if (spec.gang()) {
      List<TaskState> gang = waiting(nowMs, spec.count());
      boolean goesFirst = anyGoesFirst && gang.stream().anyMatch(this::goesFirst);
      return gang.size() == spec.count() && goesFirst == first ? gang : List.of();
    }
    List<TaskState> selected = new ArrayList<>();
    List<TaskState> failing = new ArrayList<>();
    for (TaskState task : waiting(nowMs, limit)) {
      if (!anyGoesFirst || goesFirst(task) == first) {
        (task.keepsFailing() ? failing : selected).add(task);
      }
    }
    selected.addAll(failing);
    return selected;
  }

  /** Returns the waiting tasks, of those that have never been started no more than a limit. */
  private List<TaskState> waiting(long nowMs, int untouchedLimit) {
    List<TaskState> waiting = new ArrayList<>();
    int untouched = Math.min(untouchedLimit, untouchedCount());
    int next = done.nextClearBit(0);
    for (TaskState task : tracked.values()) {
      for (; untouched > 0 && next < task.key.index(); next = done.nextClearBit(next + 1)) {
        waiting.add(task(next));
        untouched--;
      }
      if (next == task.key.index()) {
        next = done.nextClearBit(next + 1);
      }
      if (task.isWaiting(nowMs)) {
        waiting.add(task);
      }
    }
    for (; untouched > 0; next = done.nextClearBit(next + 1)) {
      waiting.add(task(next));
      untouched--;
    }
    return waiting;
  }

  /** Returns whether a task goes before all others that wait, and no worker is kept free of it. */
  boolean goesFirst(TaskState task) {
    return spec.lasting() && hasBegun(task.key.index()) && seenRoom.isFrequent();
  }

  /** Returns whether any task has run before, and has no run now. */
  boolean hasTaskToRunAgain() {
    if (!spec.lasting()) {
      return false;
    }
    for (TaskState task : tracked.values()) {
      if (task.runs.isEmpty() && hasBegun(task.key.index())) {
        return true;
      }
    }
    return false;
  }

  void markDone(int task) {
    if (!done.get(task)) {
      done.set(task);
      doneCount++;
    }
  }

  void markAllDone() {
    done.set(0, spec.count());
    doneCount = spec.count();
  }

  /** Marks that a lasting task has run; it is tracked from then on, as it has to run again. */
  void markBegun(int task) {
    begun.set(task);
    task(task).track();
  }

  int tasksOn(WorkerState worker) {
    int count = 0;
    for (Run run : worker.runs.values()) {
      if (run.task.phase == this) {
        count++;
      }
    }
    return count;
  }

  /** Returns how often the task has failed, or the whole gang if the phase is one. */
  int failedAttempts(TaskState task) {
    if (!spec.gang()) {
      return task.failures.size();
    }
    Set<Long> failedRuns = new HashSet<>();
    tracked.values().forEach(member -> failedRuns.addAll(member.failures));
    return failedRuns.size();
  }
}
