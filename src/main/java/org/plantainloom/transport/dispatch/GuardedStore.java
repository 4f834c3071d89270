package org.plantainloom.transport.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.admission.StoreAvailability;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.TransactionalStore;

/**
 * The store as callers' requests use it: refuses calls at once while the store serves none, so that
 * callers do not wait for timeouts. Thread-safe.
 */
final class GuardedStore {
  private static final Logger LOG = Logger.getLogger(GuardedStore.class);

  /** The caller has waited for the write already; a slow store takes up to 300 ms. */
  private static final long READ_BACK_TIMEOUT_MS = 400;

  private final TransactionalStore store;
  private final StoreAvailability availability = new StoreAvailability();
  private boolean reportedLost;

  GuardedStore(TransactionalStore store) {
    this.store = store;
  }

  /** Returns whether the store has served no call for a while. */
  synchronized boolean isUnavailable() {
    return availability.isUnavailable(NodeContext.nowMs());
  }

  CompletableFuture<CommitReply> commit(Transaction transaction) {
    Optional<String> refusal = admit();
    return refusal.isPresent()
        ? CompletableFuture.completedFuture(new CommitReply.Refused(refusal.get()))
        : store.commit(transaction).thenApply(this::recordCommit);
  }

  CompletableFuture<ReadReply> read(String key) {
    Optional<String> refusal = admit();
    return refusal.isPresent()
        ? CompletableFuture.completedFuture(new ReadReply.Unavailable(refusal.get()))
        : store.read(key).thenApply(this::recordRead);
  }

  CompletableFuture<ReadReply> list(String prefix) {
    Optional<String> refusal = admit();
    return refusal.isPresent()
        ? CompletableFuture.completedFuture(new ReadReply.Unavailable(refusal.get()))
        : store.list(prefix).thenApply(this::recordRead);
  }

  /**
   * Reads back keys of which a write got no reply, even while the store serves no other call: a
   * lost reply alone does not mean that the store is unavailable. Waits only briefly for it.
   */
  CompletableFuture<ReadReply> listBack(String prefix) {
    return store
        .list(prefix)
        .thenApply(this::recordRead)
        .completeOnTimeout(
            new ReadReply.Unavailable("not read back in time"),
            READ_BACK_TIMEOUT_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Returns why a call must not be sent; empty if it may. */
  private synchronized Optional<String> admit() {
    long now = NodeContext.nowMs();
    if (availability.admits(now)) {
      availability.callSent(now);
      return Optional.empty();
    }
    if (!reportedLost) {
      reportedLost = true;
      LOG.warn("event=store-lost effect=requests are refused until it serves a call");
    }
    return Optional.of("the store has served no call for some time");
  }

  /** Tests whether the store is back if calls have not been served and a test is due. */
  synchronized void probeIfDue(long nowMs) {
    if (availability.isProbeDue(nowMs)) {
      availability.probeSent(nowMs);
      sendProbe();
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // its reply is recorded
  private void sendProbe() {
    store.read(StoreKeys.TERM).thenApply(this::recordRead);
  }

  private CommitReply recordCommit(CommitReply reply) {
    if (reply instanceof CommitReply.Committed || reply instanceof CommitReply.Conflict) {
      recordServed();
    }
    return reply;
  }

  private ReadReply recordRead(ReadReply reply) {
    if (reply instanceof ReadReply.Found) {
      recordServed();
    }
    return reply;
  }

  private synchronized void recordServed() {
    availability.callServed();
    if (reportedLost) {
      reportedLost = false;
      LOG.info("event=store-regained");
    }
  }
}
