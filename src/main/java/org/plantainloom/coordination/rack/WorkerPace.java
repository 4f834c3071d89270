package org.plantainloom.coordination.rack;

import org.plantainloom.state.WorkerCommands;

/** Paces the control messages to one worker: at once when pressing, else as a heartbeat. */
final class WorkerPace {
  private static final long HEARTBEAT_MS = 2_000;
  private static final long PRESSING_GAP_MS = 100;

  private boolean inFlight;
  private boolean unreachable;
  private long lastSentMs;
  private long knownStirs = -1;

  /** Returns whether it is worth working out what to tell the worker. */
  boolean mayAsk(long stirs, long nowMs) {
    boolean rested = !inFlight && nowMs - lastSentMs >= PRESSING_GAP_MS;
    return rested && (stirs != knownStirs || isHeartbeatDue(nowMs));
  }

  /** Returns whether the message has to go out now; called once it is worked out. */
  boolean isDue(WorkerCommands commands, long stirs, long nowMs) {
    knownStirs = stirs;
    return commands.hasUrgentCommands() || isHeartbeatDue(nowMs);
  }

  private boolean isHeartbeatDue(long nowMs) {
    return nowMs - lastSentMs >= HEARTBEAT_MS;
  }

  void sent(long nowMs) {
    inFlight = true;
    lastSentMs = nowMs;
  }

  /** Takes note of an answer or its absence; returns whether reachability changed. */
  boolean answered(boolean reachable) {
    inFlight = false;
    knownStirs = -1;
    boolean changed = unreachable == reachable;
    unreachable = !reachable;
    return changed;
  }
}
