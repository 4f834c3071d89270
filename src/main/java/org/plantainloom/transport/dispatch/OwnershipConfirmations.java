package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainloom.coordination.dispatch.OwnerClocks;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.coordination.dispatch.WorkerClockReading;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Has the store confirm an ownership, by commits that require the owner's key and write when they
 * were sent. A successor finds there until when this owner may have acted.
 *
 * <p>The first one is part of the commit that stores the list of workers with which this owner
 * begins to act. The claim before is not one: an owner that is lost right after its claim has done
 * nothing that a successor would have to wait for.
 *
 * <p>Each commit also requires the revision of the confirmation before it, so that one that is
 * carried out late cannot replace a newer one, and the stored moment never decreases.
 */
final class OwnershipConfirmations {
  /** Interval of an owner that the store has not confirmed for too long. */
  private static final long UNCONFIRMED_INTERVAL_MS = 200;

  /** Interval while the ends of leases wait for a confirmation; ends within it share one. */
  private static final long SHORTEST_INTERVAL_MS = 100;

  /** Commits may wait for their timeout, while later ones already get replies. */
  private static final int MAX_UNANSWERED = 3;

  /** The same for an owner that does not act until a commit is answered. */
  private static final int MAX_UNANSWERED_UNCONFIRMED = 6;

  private final NodeContext node;
  private final EventLoop eventLoop;
  private final Ownership ownership;
  private final OwnerClocks clocks;
  private final Consumer<Optional<StoreItem>> keyChangedListener;
  private WorkerClockSource workerClocks = (nowMs, wallMs) -> List.of();
  private LongSupplier jobBytesLeft = () -> Long.MAX_VALUE;
  private long storedRevision;
  private long lastSentMs;
  private int unanswered;
  private boolean begun;

  /** Tells what the clocks of workers show. */
  @FunctionalInterface
  interface WorkerClockSource {
    /** Returns the latest that some workers' clocks may show at a time. */
    List<WorkerClockReading> readings(long nowMs, long wallMs);
  }

  /**
   * Creates the confirmations of an owner.
   *
   * @param storedRevision revision of the last confirmation as the owner's claim has stored it; 0
   *     if there is none
   * @param keyChangedListener receives the owner's key if it is not as this owner wrote it; empty
   *     if it is gone
   */
  OwnershipConfirmations(
      NodeContext node,
      EventLoop eventLoop,
      Ownership ownership,
      long storedRevision,
      Consumer<Optional<StoreItem>> keyChangedListener) {
    this.node = node;
    this.eventLoop = eventLoop;
    this.ownership = ownership;
    this.clocks = ownership.clocks();
    this.keyChangedListener = keyChangedListener;
    this.storedRevision = storedRevision;
  }

  /** Sets the source of the workers' clocks that confirmations name from now on. */
  void workerClocks(WorkerClockSource source) {
    workerClocks = source;
  }

  /** Sets what tells how much memory is left for more jobs, which confirmations say then. */
  void jobBytesLeft(LongSupplier source) {
    jobBytesLeft = source;
  }

  /** Returns whether the first confirmation was carried out. */
  boolean hasBegun() {
    return begun;
  }

  /** Adds the first confirmation to a transaction, and returns when it counts as sent. */
  OwnerTime addFirstTo(Transaction transaction) {
    OwnerTime sent = addTo(transaction, NodeContext.nowMs(), NodeContext.wallMs());
    lastSentMs = sent.monotonicMs();
    return sent;
  }

  /** Handles that the store has carried out the transaction with the first confirmation. */
  void begin(OwnerTime sent, long revision) {
    begun = true;
    storedRevision = Math.max(storedRevision, revision);
    confirm(sent);
  }

  /** Sends the next confirmation if it is due. */
  void tick(long nowMs, long wallMs) {
    if (!begun) {
      return;
    }
    OwnershipLease validity = ownership.validity();
    boolean valid = validity.isValid(nowMs, wallMs);
    long intervalMs = valid ? OwnershipLease.CONFIRM_INTERVAL_MS : UNCONFIRMED_INTERVAL_MS;
    int maxUnanswered = valid ? MAX_UNANSWERED : MAX_UNANSWERED_UNCONFIRMED;
    boolean due = validity.ageMs(nowMs, wallMs) >= intervalMs && nowMs - lastSentMs >= intervalMs;
    boolean needed =
        validity.isConfirmationNeeded(lastSentMs) && nowMs - lastSentMs >= SHORTEST_INTERVAL_MS;
    if ((due || needed) && unanswered < maxUnanswered) {
      send(nowMs, wallMs);
    }
  }

  private void send(long nowMs, long wallMs) {
    lastSentMs = nowMs;
    unanswered++;
    Transaction transaction = Transaction.start().expect(StoreKeys.OWNER, ownership.revision());
    OwnerTime sent = addTo(transaction, nowMs, wallMs);
    eventLoop.onResult(
        node.store().commit(transaction),
        reply -> {
          unanswered--;
          if (reply instanceof CommitReply.Committed committed) {
            storedRevision = Math.max(storedRevision, committed.revision());
            confirm(sent);
          } else if (reply instanceof CommitReply.Conflict conflict) {
            onConflict(conflict.current());
          }
        });
  }

  private OwnerTime addTo(Transaction transaction, long nowMs, long wallMs) {
    OwnerTime sent = new OwnerTime(ownership.record().term(), nowMs, wallMs);
    StoredConfirmation confirmation =
        StoredConfirmation.of(sent, workerClocks.readings(nowMs, wallMs), jobBytesLeft.getAsLong());
    transaction
        .expect(StoreKeys.CONFIRMED, storedRevision)
        .write(StoreKeys.CONFIRMED, Json.write(confirmation));
    return sent;
  }

  private void confirm(OwnerTime sent) {
    ownership.validity().confirm(sent.monotonicMs(), sent.wallMs());
    // This node may succeed itself.
    clocks.sampled(sent, sent.monotonicMs());
  }

  /**
   * Handles a conflict of a transaction with a confirmation, also the first one: an earlier attempt
   * may have been carried out although its reply was lost.
   */
  void onConflict(List<StoreItem> current) {
    Optional<StoreItem> ownerKey = find(current, StoreKeys.OWNER);
    if (ownerKey.isEmpty() || ownerKey.get().revision() != ownership.revision()) {
      keyChangedListener.accept(ownerKey);
      return;
    }
    // An earlier commit whose reply was lost, or is still on its way, has been carried out.
    Optional<StoreItem> stored = find(current, StoreKeys.CONFIRMED);
    storedRevision = stored.map(item -> Math.max(storedRevision, item.revision())).orElse(0L);
    stored
        .flatMap(StoredConfirmation::parse)
        .map(StoredConfirmation::time)
        .filter(time -> time.term() == ownership.record().term())
        .filter(time -> time.monotonicMs() <= NodeContext.nowMs())
        .ifPresent(time -> begin(time, storedRevision));
    // The next tick may send one that requires the current revision.
    lastSentMs -= OwnershipLease.CONFIRM_INTERVAL_MS;
  }

  private static Optional<StoreItem> find(List<StoreItem> items, String key) {
    return items.stream().filter(item -> item.key().equals(key)).findFirst();
  }
}
