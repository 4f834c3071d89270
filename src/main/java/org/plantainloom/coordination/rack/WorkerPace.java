package org.plantainloom.coordination.rack;

import org.plantainloom.state.WorkerCommands;

/** Paces the control messages to one worker: at once when pressing, else as a heartbeat. */
final class WorkerPace {
  private static final long HEARTBEAT_MS = 2_000;
  private static final long PRESSING_GAP_MS = 100;

  private boolean inFlight;
  private boolean unreachable;
  private long lastSentMs;

  boolean mayAsk(long nowMs) {
    return !inFlight && nowMs - lastSentMs >= PRESSING_GAP_MS;
  }

  boolean isDue(WorkerCommands commands, long nowMs) {
    return commands.isPressing() || nowMs - lastSentMs >= HEARTBEAT_MS;
  }

  void sent(long nowMs) {
    inFlight = true;
    lastSentMs = nowMs;
  }

  /** Takes note of an answer or its absence; returns whether reachability changed. */
  boolean answered(boolean reachable) {
    inFlight = false;
    boolean changed = unreachable == reachable;
    unreachable = !reachable;
    return changed;
  }
}
