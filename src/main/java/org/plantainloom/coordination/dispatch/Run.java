package org.plantainloom.coordination.dispatch;

/** One run of a task on a worker, from the order to start it until its end is known. */
final class Run {
  /** What the scheduler knows of a run. */
  enum Stage {
    /** Ordered, not answered. */
    STARTING,
    RUNNING,
    /** To be stopped; also a start without an answer, until it is certain that nothing runs. */
    STOPPING
  }

  final TaskState task;
  final long number;
  final WorkerState worker;
  final long orderedMs;
  Stage stage = Stage.STARTING;
  long confirmedMs;
  int percent = -1;
  long progressedMs;

  /** When a look last told of the run. */
  long seenMs;

  int pace = 100;
  int orderedPace = 100;
  long paceChangedMs;
  long excessSinceMs;
  long starvedSinceMs;
  long recent = -1;
  boolean stopInFlight;
  long stopOrderedMs;
  long stopAnsweredMs = -1;

  Run(TaskState task, long number, WorkerState worker, long nowMs) {
    this.task = task;
    this.number = number;
    this.worker = worker;
    this.orderedMs = nowMs;
    this.progressedMs = nowMs;
  }

  void confirm(long nowMs) {
    if (stage == Stage.STARTING) {
      stage = Stage.RUNNING;
      confirmedMs = nowMs;
      progressedMs = nowMs;
    }
  }

  void stop() {
    stage = Stage.STOPPING;
    worker.mayHaveStops = true;
  }

  boolean isStopping() {
    return stage == Stage.STOPPING;
  }

  void reportProgress(int newPercent, long nowMs) {
    seenMs = nowMs;
    if (newPercent != percent) {
      percent = newPercent;
      progressedMs = nowMs;
    }
  }

  @Override
  public String toString() {
    return task.key + "#" + number + "@" + worker.id();
  }
}
