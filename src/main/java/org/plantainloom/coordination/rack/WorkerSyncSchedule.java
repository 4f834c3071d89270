package org.plantainloom.coordination.rack;

import org.plantainloom.state.WorkerCommands;

/** Paces the control messages to one worker: at once when pressing, else as a heartbeat. */
final class WorkerSyncSchedule {
  private static final long HEARTBEAT_INTERVAL_MS = 2_000;
  private static final long MIN_SEND_INTERVAL_MS = 100;

  private boolean inFlight;
  private boolean unreachable;
  private long lastSentMs;
  private long checkedInputVersion = -1;

  /** Returns whether it is worth working out what to tell the worker. */
  boolean shouldBuildCommands(long stirs, long nowMs) {
    boolean rested = !inFlight && nowMs - lastSentMs >= MIN_SEND_INTERVAL_MS;
    return rested && (stirs != checkedInputVersion || isHeartbeatDue(nowMs));
  }

  /** Returns whether the message has to go out now; called once it is worked out. */
  boolean shouldSend(WorkerCommands commands, long stirs, long nowMs) {
    checkedInputVersion = stirs;
    return commands.isPressing() || isHeartbeatDue(nowMs);
  }

  private boolean isHeartbeatDue(long nowMs) {
    return nowMs - lastSentMs >= HEARTBEAT_INTERVAL_MS;
  }

  void recordSent(long nowMs) {
    inFlight = true;
    lastSentMs = nowMs;
  }

  /** Takes note of an answer or its absence; returns whether reachability changed. */
  boolean recordReply(boolean reachable) {
    inFlight = false;
    checkedInputVersion = -1;
    boolean changed = unreachable == reachable;
    unreachable = !reachable;
    return changed;
  }
}
