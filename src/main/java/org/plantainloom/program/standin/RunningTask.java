package org.plantainloom.program.standin;

import org.plantainloom.state.RunState;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.WorkloadKind;

/** One incarnation on a stand-in worker. */
final class RunningTask {
  private final TaskRef ref;
  private final TaskLaunch launch;
  private final long trueRunMs;
  private RunState state;
  private long doneMs;
  private long lastMs;
  private long leaseUntilMs;
  private int throttlePercent;
  private int requestsInFlight;

  RunningTask(
      TaskRef ref,
      TaskLaunch launch,
      long trueRunMs,
      long checkpoint,
      RunState state,
      long leaseUntilMs,
      long nowMs) {
    this.ref = ref;
    this.launch = launch;
    this.trueRunMs = trueRunMs;
    this.doneMs = checkpoint;
    this.state = state;
    this.leaseUntilMs = leaseUntilMs;
    this.lastMs = nowMs;
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

  /** Tries to take a request; a draining or ended replica takes none. */
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

  /** Moves the task's work on to now; returns the work done since the last call. */
  long advance(long nowMs) {
    long elapsedMs = nowMs - lastMs;
    lastMs = nowMs;
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
    doneMs += workMs;
    if (doneMs >= trueRunMs) {
      state = RunState.FINISHED;
    }
    return workMs;
  }

  TaskReport report() {
    int cpu = isLive() ? launch.size().cpuMillis() : 0;
    return new TaskReport(ref, state, doneMs, cpu);
  }
}
