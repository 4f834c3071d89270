package org.plantainloom.program.standin;

import org.plantainloom.state.RunState;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.WorkloadKind;

/** An incarnation of a task on an {@link InMemoryWorker}. */
final class InMemoryTask {
  private final TaskRef ref;
  private final TaskLaunch launch;
  private final long actualRunMs;
  private RunState state;
  private long progressMs;
  private long lastAdvancedMs;
  private long leaseUntilMs;
  private int throttlePercent;
  private int requestsInFlight;

  InMemoryTask(
      TaskRef ref,
      TaskLaunch launch,
      long actualRunMs,
      long checkpoint,
      RunState state,
      long leaseUntilMs,
      long nowMs) {
    this.ref = ref;
    this.launch = launch;
    this.actualRunMs = actualRunMs;
    this.progressMs = checkpoint;
    this.state = state;
    this.leaseUntilMs = leaseUntilMs;
    this.lastAdvancedMs = nowMs;
  }

  TaskRef ref() {
    return ref;
  }

  TaskLaunch launch() {
    return launch;
  }

  RunState state() {
    return state;
  }

  boolean isLive() {
    return state == RunState.RUNNING || state == RunState.DRAINING;
  }

  void renew(long untilMs) {
    leaseUntilMs = Math.max(leaseUntilMs, untilMs);
  }

  void throttle(int percent) {
    throttlePercent = Math.min(percent, launch.maxThrottlePercent());
  }

  void fail() {
    state = RunState.FAILED;
  }

  void stop() {
    if (state == RunState.RUNNING) {
      boolean drains = launch.kind() == WorkloadKind.SERVICE && requestsInFlight > 0;
      state = drains ? RunState.DRAINING : RunState.STOPPED;
    }
  }

  /** Starts a request, or returns false if the replica is draining or has ended. */
  boolean beginRequest() {
    if (state != RunState.RUNNING) {
      return false;
    }
    requestsInFlight++;
    return true;
  }

  void endRequest() {
    requestsInFlight--;
    if (state == RunState.DRAINING && requestsInFlight == 0) {
      state = RunState.STOPPED;
    }
  }

  /**
   * Advances the task to the given time and ends it if its lease has expired or its work is done.
   *
   * @return the batch work done since the last call, in milliseconds
   */
  long advance(long nowMs) {
    long elapsedMs = nowMs - lastAdvancedMs;
    lastAdvancedMs = nowMs;
    if (!isLive()) {
      return 0;
    }
    if (nowMs > leaseUntilMs) {
      state = RunState.LAPSED;
      return 0;
    }
    if (launch.kind() == WorkloadKind.SERVICE) {
      return 0;
    }
    long workMs = elapsedMs * (100 - throttlePercent) / 100;
    progressMs += workMs;
    if (progressMs >= actualRunMs) {
      state = RunState.FINISHED;
    }
    return workMs;
  }

  TaskReport report() {
    int usedCpuMillis = isLive() ? launch.size().cpuMillis() : 0;
    return new TaskReport(ref, state, progressMs, usedCpuMillis);
  }
}
