package org.plantainloom.coordination.rack;

import org.plantainloom.state.WorkerCommands;

/**
 * Decides when to send control messages to one worker: urgent ones at once, others as heartbeats.
 */
final class WorkerSyncSchedule {
  private static final long HEARTBEAT_INTERVAL_MS = 2_000;
  private static final long MIN_SEND_INTERVAL_MS = 100;

  private boolean inFlight;
  private boolean unreachable;
  private long lastSentMs;
  private long checkedInputVersion = -1;

  /**
   * Returns whether the next message should be built, because inputs changed or a heartbeat is due.
   */
  boolean shouldBuildCommands(long inputVersion, long nowMs) {
    boolean maySend = !inFlight && nowMs - lastSentMs >= MIN_SEND_INTERVAL_MS;
    return maySend && (inputVersion != checkedInputVersion || isHeartbeatDue(nowMs));
  }

  /** Returns whether the built message has to be sent now. */
  boolean shouldSend(WorkerCommands commands, long inputVersion, long nowMs) {
    checkedInputVersion = inputVersion;
    return commands.hasUrgentCommands() || isHeartbeatDue(nowMs);
  }

  private boolean isHeartbeatDue(long nowMs) {
    return nowMs - lastSentMs >= HEARTBEAT_INTERVAL_MS;
  }

  void recordSent(long nowMs) {
    inFlight = true;
    lastSentMs = nowMs;
  }

  /** Records a reply or a failure to reply; returns whether reachability changed. */
  boolean recordReply(boolean reachable) {
    inFlight = false;
    checkedInputVersion = -1;
    boolean changed = unreachable == reachable;
    unreachable = !reachable;
    return changed;
  }
}
