package org.plantainloom.transport.dispatch;

import com.codahale.metrics.Counter;
import java.util.List;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.coordination.dispatch.ProgressBatch;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Writes the dispatcher's progress to the store, one transaction at a time. Changes made during a
 * transaction are combined in the next one.
 *
 * <p>Each transaction requires that this node's owner key is unchanged, so that a former owner
 * cannot write, and requires the revision of what it replaces, so that a delayed write cannot
 * replace a newer one.
 */
final class ProgressWriter implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ProgressWriter.class);
  private static final long RETRY_MS = 150;

  /** Longer than callers may ask for the status of a finished job (120 s on the platform). */
  private static final long FINISHED_JOB_RETENTION_MS = 150_000;

  private static final long REMOVAL_INTERVAL_MS = 5_000;

  /** The same while more are left, so that they are removed as fast as jobs finish. */
  private static final long BUSY_REMOVAL_INTERVAL_MS = 150;

  /** Removing a job takes three entries of a transaction. */
  private static final int MAX_REMOVED_JOBS_PER_COMMIT = 10;

  private final NodeContext node;
  private final EventLoop eventLoop;
  private final PrefixWatch.DelayedExecutor delayedExecutor;
  private final Dispatcher dispatcher;
  private final Ownership ownership;
  private final OwnershipConfirmations confirmations;
  private final ListListener listListener;
  private final Runnable scheduleRound;
  private final Counter commitCounter;

  /** Revision of the stored list of workers; 0 if there is none. */
  private long fleetRevision;

  private boolean firstListSent;

  private boolean ownersSettled;
  private boolean busy;
  private boolean closed;
  private long nextRemovalMs = NodeContext.nowMs() + REMOVAL_INTERVAL_MS;

  /**
   * Creates a writer.
   *
   * @param scheduleRound called when a write has ended
   */
  ProgressWriter(
      NodeContext node,
      EventLoop eventLoop,
      PrefixWatch.DelayedExecutor delayedExecutor,
      Dispatcher dispatcher,
      Ownership ownership,
      OwnershipConfirmations confirmations,
      ListListener listListener,
      Runnable scheduleRound) {
    this.node = node;
    this.eventLoop = eventLoop;
    this.delayedExecutor = delayedExecutor;
    this.dispatcher = dispatcher;
    this.ownership = ownership;
    this.confirmations = confirmations;
    this.listListener = listListener;
    this.scheduleRound = scheduleRound;
    this.commitCounter = node.metrics().counter("store.commits");
  }

  /** Sets the revision at which the list of workers was read; its writes require that. */
  void fleetRead(long revision) {
    fleetRevision = revision;
  }

  /**
   * Writes the changes that are not stored yet, unless a write is in progress or waits to be
   * retried.
   */
  void persist() {
    persistList();
    if (busy || closed || !confirmations.hasBegun()) {
      return;
    }
    if (!ownersSettled && dispatcher.areInheritedLeasesOver(NodeContext.nowMs())) {
      persistSettledOwners();
      return;
    }
    // Progress is written between two removals, but must not hold them up under steady load.
    if (NodeContext.nowMs() >= nextRemovalMs && removeFinishedJobs()) {
      return;
    }
    dispatcher.unpersistedProgress().ifPresent(this::persistProgress);
  }

  /**
   * Writes the list of workers if it has changed. The first time that goes with the confirmation
   * from which on this owner may act, so that the store never has an owner's confirmation beside
   * the list of another one.
   */
  void persistList() {
    if (busy || closed) {
      return;
    }
    if (confirmations.hasBegun()) {
      dispatcher.unpersistedFleet().ifPresent(this::persistFleet);
    } else if (dispatcher.inheritedWorkers().isListReady(NodeContext.nowMs())) {
      persistFirstList(dispatcher.firstFleet());
    }
  }

  private void persistFirstList(List<FleetMember> fleet) {
    boolean incomplete = dispatcher.isFleetIncomplete();
    Transaction transaction = listTransaction(fleet, incomplete);
    OwnerTime sent = confirmations.addFirstTo(transaction);
    commit(
        transaction,
        revision -> {
          confirmations.begin(sent, revision);
          listPersisted(fleet, incomplete, revision);
        },
        current -> {
          fleetRevision = revisionOf(StoreKeys.FLEET, current);
          confirmations.onConflict(current);
          if (confirmations.hasBegun()) {
            listListener.onStored();
          }
        });
    if (!firstListSent) {
      firstListSent = true;
      listListener.onFirstSent();
    }
  }

  boolean isIdle() {
    return !busy && dispatcher.unpersistedProgress().isEmpty();
  }

  private Transaction ownerTransaction() {
    return Transaction.start().expect(StoreKeys.OWNER, ownership.revision());
  }

  private void persistFleet(List<FleetMember> fleet) {
    boolean incomplete = dispatcher.isFleetIncomplete();
    commit(
        listTransaction(fleet, incomplete),
        revision -> listPersisted(fleet, incomplete, revision),
        current -> fleetRevision = revisionOf(StoreKeys.FLEET, current));
  }

  private Transaction listTransaction(List<FleetMember> fleet, boolean incomplete) {
    OwnerTime now =
        new OwnerTime(ownership.record().term(), NodeContext.nowMs(), NodeContext.wallMs());
    return ownerTransaction()
        .expect(StoreKeys.FLEET, fleetRevision)
        .write(StoreKeys.FLEET, Json.write(FleetRecord.of(fleet, now, incomplete)));
  }

  private void listPersisted(List<FleetMember> fleet, boolean incomplete, long revision) {
    fleetRevision = revision;
    dispatcher.fleetPersisted(fleet, incomplete);
    LOG.infof(
        "event=fleet-persisted workers=%d silent=%d revision=%d",
        fleet.size(), fleet.stream().filter(FleetMember::silent).count(), revision);
    listListener.onStored();
  }

  private void persistProgress(ProgressBatch batch) {
    Transaction transaction = ownerTransaction();
    for (ProgressBatch.Entry entry : batch.entries()) {
      String key = StoreKeys.progress(entry.jobId());
      transaction.expect(key, entry.expectedRevision()).write(key, Json.write(entry.progress()));
    }
    commit(
        transaction,
        revision -> dispatcher.progressPersisted(batch, revision),
        current -> correctRevisions(batch, current));
  }

  private void correctRevisions(ProgressBatch batch, List<StoreItem> current) {
    for (ProgressBatch.Entry entry : batch.entries()) {
      long revision = revisionOf(StoreKeys.progress(entry.jobId()), current);
      dispatcher.correctRevision(entry.jobId(), revision);
    }
  }

  /** Returns the revision of a key among the current items; 0 if it does not exist. */
  private static long revisionOf(String key, List<StoreItem> current) {
    return current.stream()
        .filter(item -> item.key().equals(key))
        .mapToLong(StoreItem::revision)
        .findFirst()
        .orElse(0);
  }

  /** The next owner need not ask the owners before this one. */
  private void persistSettledOwners() {
    commit(
        ownerTransaction()
            .write(
                StoreKeys.UNSETTLED_OWNERS,
                Json.write(UnsettledOwners.settled(ownership.record()))),
        revision -> ownersSettled = true,
        current -> {});
  }

  /** Removes finished jobs whose time is over from the store; returns whether there are any. */
  private boolean removeFinishedJobs() {
    long now = NodeContext.nowMs();
    List<String> jobs =
        dispatcher.retireJobs(now - FINISHED_JOB_RETENTION_MS, MAX_REMOVED_JOBS_PER_COMMIT);
    boolean moreLeft = jobs.size() == MAX_REMOVED_JOBS_PER_COMMIT;
    nextRemovalMs = now + (moreLeft ? BUSY_REMOVAL_INTERVAL_MS : REMOVAL_INTERVAL_MS);
    if (jobs.isEmpty()) {
      return false;
    }
    Transaction transaction = ownerTransaction();
    for (String id : jobs) {
      transaction.remove(StoreKeys.job(id));
      transaction.remove(StoreKeys.cancel(id));
      transaction.remove(StoreKeys.progress(id));
    }
    commit(
        transaction,
        revision -> {
          dispatcher.jobsRemoved(jobs, NodeContext.nowMs());
          LOG.infof("event=jobs-retired count=%d", jobs.size());
        },
        current -> {});
    return true;
  }

  /** Learns how far the list of workers is stored. */
  interface ListListener {
    /** Called when the list with which the owner begins to act is sent for the first time. */
    void onFirstSent();

    /** Called when a list was stored. */
    void onStored();
  }

  /** Called when a transaction was committed. */
  @FunctionalInterface
  private interface CommitListener {
    void onCommitted(long revision);
  }

  /** Called with the current items when a transaction failed on a required revision. */
  @FunctionalInterface
  private interface ConflictListener {
    void onConflict(List<StoreItem> current);
  }

  private void commit(
      Transaction transaction, CommitListener commitListener, ConflictListener conflictListener) {
    busy = true;
    commitCounter.inc();
    eventLoop.onResult(
        node.store().commit(transaction),
        reply -> {
          busy = false;
          if (closed) {
            return;
          }
          if (reply instanceof CommitReply.Committed committed) {
            commitListener.onCommitted(committed.revision());
            scheduleRound.run();
          } else if (reply instanceof CommitReply.Conflict conflict) {
            LOG.warnf("event=store-write-conflict items=%d", conflict.current().size());
            conflictListener.onConflict(conflict.current());
            retryLater();
          } else {
            LOG.warnf("event=store-write-failed reply=%s", reply);
            retryLater();
          }
        });
  }

  private void retryLater() {
    busy = true;
    delayedExecutor.schedule(
        RETRY_MS,
        () -> {
          busy = false;
          scheduleRound.run();
        });
  }

  @Override
  public void close() {
    closed = true;
  }
}
