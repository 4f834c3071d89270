package org.plantainloom.transport.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.ClockDrift;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Asks the previous owners until each has stopped, so that the leases which they gave expire at a
 * known time. A previous owner that was killed answers once its process runs again; one that never
 * answers leaves the new owner with the time that it would wait for without asking.
 */
final class PreviousOwnersInquiry implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(PreviousOwnersInquiry.class);

  /** A process that was killed runs again after one to two seconds. */
  private static final long RETRY_MS = 200;

  private final OwnerPeers peers;
  private final EventLoop eventLoop;
  private final PrefixWatch.DelayedExecutor delayedExecutor;
  private final long term;
  private final Set<OwnerRecord> unanswered;
  private final LongConsumer stoppedListener;
  private long stoppedMs;
  private boolean closed;

  /**
   * Creates an inquiry.
   *
   * @param term the term of the new owner
   * @param ownedSinceMs when the new owner got the ownership
   * @param stoppedListener called on the event loop, once all have stopped, with a time after which
   *     none of them has sent a command
   */
  PreviousOwnersInquiry(
      OwnerPeers peers,
      EventLoop eventLoop,
      PrefixWatch.DelayedExecutor delayedExecutor,
      long term,
      long ownedSinceMs,
      List<OwnerRecord> previousOwners,
      LongConsumer stoppedListener) {
    this.peers = peers;
    this.eventLoop = eventLoop;
    this.delayedExecutor = delayedExecutor;
    this.term = term;
    this.unanswered = new LinkedHashSet<>(previousOwners);
    this.stoppedListener = stoppedListener;
    this.stoppedMs = previousOwners.isEmpty() ? ownedSinceMs : Long.MIN_VALUE;
  }

  PreviousOwnersInquiry start() {
    if (unanswered.isEmpty()) {
      stoppedListener.accept(stoppedMs);
    }
    List.copyOf(unanswered).forEach(this::ask);
    return this;
  }

  private void ask(OwnerRecord owner) {
    eventLoop.onResult(
        peers.stopOwnership(owner, term),
        idleMs -> {
          if (closed) {
            return;
          }
          if (idleMs.isPresent()) {
            stopped(owner, idleMs.get());
          } else {
            delayedExecutor.schedule(RETRY_MS, () -> askUnlessClosed(owner));
          }
        });
  }

  private void askUnlessClosed(OwnerRecord owner) {
    if (!closed) {
      ask(owner);
    }
  }

  private void stopped(OwnerRecord owner, long idleMs) {
    LOG.infof(
        "event=previous-owner-stopped id=%s term=%d idleMs=%d", owner.node(), owner.term(), idleMs);
    stoppedMs = Math.max(stoppedMs, NodeContext.nowMs() - ClockDrift.shortestMs(idleMs));
    unanswered.remove(owner);
    if (unanswered.isEmpty()) {
      stoppedListener.accept(stoppedMs);
    }
  }

  /** Stops asking, for instance as the leases have expired anyway. */
  @Override
  public void close() {
    closed = true;
  }
}
