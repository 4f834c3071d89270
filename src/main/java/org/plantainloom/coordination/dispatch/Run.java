package org.plantainloom.coordination.dispatch;

/** One attempt to run a task on a worker, from the start command until its end is known. */
final class Run {
  /** Stage of a run from the scheduler's view. */
  enum Stage {
    /** The start command has not been answered. */
    STARTING,
    RUNNING,
    /** To be stopped; also a start whose answer was lost, until it is certain that nothing runs. */
    STOPPING
  }

  final TaskState task;
  final long number;
  final WorkerState worker;
  final long startSentMs;
  Stage stage = Stage.STARTING;
  long confirmedMs;
  int progressPercent = -1;
  long lastProgressMs;

  /** When a poll last listed the run; 0 if none has. */
  long lastReportedMs;

  /** The limit that the worker has confirmed. */
  int cpuLimitPercent = 100;

  /** The limit that was sent last. */
  int requestedCpuLimitPercent = 100;

  long cpuLimitChangedMs;

  /** Since when the tail latency is above its objective; 0 if it is not. */
  long tailExceededSinceMs;

  /** Since when the run's CPU limit is too low to be worth staying; 0 if it is not. */
  long starvedSinceMs;

  /**
   * For a task with a tail objective its tail latency in milliseconds, for any other its processor
   * time in use in thousandths of a core; -1 if unknown.
   */
  long recentMeasurement = -1;

  /** Whether it was started although the task keeps failing. */
  boolean ofFailingTask;

  boolean stopInFlight;
  long stopSentMs;
  long stopAnsweredMs = -1;

  Run(TaskState task, long number, WorkerState worker, long nowMs) {
    this.task = task;
    this.number = number;
    this.worker = worker;
    this.startSentMs = nowMs;
    this.lastProgressMs = nowMs;
  }

  void confirm(long nowMs) {
    if (stage == Stage.STARTING) {
      stage = Stage.RUNNING;
      confirmedMs = nowMs;
      lastProgressMs = nowMs;
    }
  }

  void stop() {
    stage = Stage.STOPPING;
    worker.mayHaveStoppingRuns = true;
  }

  /**
   * Has a stop sent again, even if the worker has confirmed it: in another life it knows of none.
   */
  void repeatStop() {
    stopAnsweredMs = -1;
    worker.mayHaveStoppingRuns |= isStopping();
  }

  /** Returns whether the worker has listed the run. */
  boolean isListed() {
    return lastReportedMs != 0;
  }

  boolean isStopping() {
    return stage == Stage.STOPPING;
  }

  void reportProgress(int newPercent, long nowMs) {
    lastReportedMs = nowMs;
    if (newPercent != progressPercent) {
      progressPercent = newPercent;
      lastProgressMs = nowMs;
    }
  }

  @Override
  public String toString() {
    return task.key + "#" + number + "@" + worker.id();
  }
}
