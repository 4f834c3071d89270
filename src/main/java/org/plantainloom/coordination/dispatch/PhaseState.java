package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.TaskKey;

/** The scheduler's view of one phase of one occurrence of a job. */
final class PhaseState {
  final JobState job;
  final int occurrence;
  final int index;
  final PhaseSpec spec;
  final List<TaskState> tasks;
  final String imageKey;
  int doneCount;

  PhaseState(JobState job, int occurrence, int index, PhaseSpec spec) {
    this.job = job;
    this.occurrence = occurrence;
    this.index = index;
    this.spec = spec;
    this.tasks = new ArrayList<>(spec.count());
    this.imageKey = spec.image().isEmpty() ? job.spec.queue() + "/" + index : spec.image();
    for (int i = 0; i < spec.count(); i++) {
      tasks.add(new TaskState(new TaskKey(job.spec.id(), occurrence, index, i), this));
    }
  }

  boolean isDone() {
    return doneCount == tasks.size();
  }

  boolean isReady(long wallMs) {
    if (isDone() || wallMs < job.spec.dueMs(occurrence)) {
      return false;
    }
    List<PhaseState> siblings = job.occurrences.get(occurrence);
    for (int before : spec.after()) {
      if (!siblings.get(before).isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether any task is waiting for a worker. */
  boolean hasWaitingTask(long nowMs) {
    for (TaskState task : tasks) {
      if (task.isPending() && task.notBeforeMs <= nowMs) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether any task has no run, be it that it waits or is held back. */
  boolean hasTaskWithoutRun() {
    return tasks.stream().anyMatch(task -> !task.done && task.runs.isEmpty());
  }

  /** Returns the tasks that are waiting for a worker; for a gang, all of its tasks or none. */
  List<TaskState> waitingTasks(long nowMs) {
    List<TaskState> waiting = new ArrayList<>();
    for (TaskState task : tasks) {
      if (task.isPending() && task.notBeforeMs <= nowMs) {
        waiting.add(task);
      }
    }
    return spec.gang() && waiting.size() < tasks.size() ? List.of() : waiting;
  }

  /** Returns the waiting tasks that have run before, as lasting tasks only do; or the others. */
  List<TaskState> waitingTasks(boolean again, long nowMs) {
    List<TaskState> waiting = waitingTasks(nowMs);
    if (spec.gang()) {
      return waiting.stream().anyMatch(task -> task.begun) == again ? waiting : List.of();
    }
    return spec.lasting() || again
        ? waiting.stream().filter(task -> task.begun == again).toList()
        : waiting;
  }

  void markDone(TaskState task) {
    if (!task.done) {
      task.done = true;
      doneCount++;
    }
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
    tasks.forEach(t -> failedRuns.addAll(t.failures));
    return failedRuns.size();
  }
}
