package org.plantainloom.transport.dispatch;

import org.plantainloom.coordination.dispatch.OwnerClocks;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Reads the confirmations of other owners again and again, so that this node knows their clocks if
 * it has to succeed them, and whether they can keep more jobs.
 */
final class OwnerClockSampler {
  /**
   * No multiple of the interval between two confirmations, so that some are read soon after they
   * were written.
   */
  private static final long INTERVAL_MS = 400;

  private final NodeContext node;
  private final EventLoop eventLoop;
  private final OwnerClocks clocks;
  private final Admission admission;
  private boolean reading;
  private long lastReadMs = Long.MIN_VALUE / 2;

  OwnerClockSampler(
      NodeContext node, EventLoop eventLoop, OwnerClocks clocks, Admission admission) {
    this.node = node;
    this.eventLoop = eventLoop;
    this.clocks = clocks;
    this.admission = admission;
  }

  /** Reads the last confirmation if that is due. */
  void tick(long nowMs) {
    if (reading || nowMs - lastReadMs < INTERVAL_MS) {
      return;
    }
    reading = true;
    lastReadMs = nowMs;
    eventLoop.onResult(
        node.store().readStale(StoreKeys.CONFIRMED),
        read -> {
          reading = false;
          if (read instanceof ReadReply.Found found) {
            found.items().stream()
                .findFirst()
                .flatMap(StoredConfirmation::parse)
                .ifPresent(this::sampled);
          }
        });
  }

  private void sampled(StoredConfirmation last) {
    clocks.sampled(last.time(), NodeContext.nowMs());
    admission.update(last.jobBytesLeft().orElse(Long.MAX_VALUE));
  }
}
