package org.plantainloom.transport.dispatch;

import com.codahale.metrics.Counter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.coordination.dispatch.ProgressBatch;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Keeps the dispatcher's progress in the store, one transaction at a time; what changes meanwhile
 * goes together into the next one.
 *
 * <p>Each transaction requires this owner's key, so that nothing of a former owner is written, and
 * the revision of each job's progress, so that a write that is carried out late cannot replace a
 * newer one.
 */
final class ProgressKeeper implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ProgressKeeper.class);
  private static final long RETRY_MS = 150;

  /** Longer than callers ask for the state of a job that is over (the platform's 120 s). */
  private static final long RETIRE_AFTER_MS = 150_000;

  private static final long RETIRE_EVERY_MS = 5_000;

  /** A job that retires takes three entries of a transaction. */
  private static final int RETIRED_PER_COMMIT = 10;

  private final NodeContext node;
  private final EventLoop duty;
  private final PrefixWatch.Delays delays;
  private final Dispatcher dispatcher;
  private final Ownership.Held held;
  private final Runnable onKept;
  private final Counter commits;
  private boolean busy;
  private boolean closed;
  private long retiredMs = NodeContext.nowMs();

  ProgressKeeper(
      NodeContext node,
      EventLoop duty,
      PrefixWatch.Delays delays,
      Dispatcher dispatcher,
      Ownership.Held held,
      Runnable onKept) {
    this.node = node;
    this.duty = duty;
    this.delays = delays;
    this.dispatcher = dispatcher;
    this.held = held;
    this.onKept = onKept;
    this.commits = node.metrics().counter("store.commits");
  }

  /** Writes what is not kept yet, unless a write is under way. */
  void keep() {
    if (busy || closed) {
      return;
    }
    Optional<List<FleetMember>> fleet = dispatcher.unpersistedFleet();
    if (fleet.isPresent()) {
      keepFleet(fleet.get());
      return;
    }
    Optional<ProgressBatch> batch = dispatcher.unpersistedProgress();
    if (batch.isPresent()) {
      keepProgress(batch.get());
    } else if (NodeContext.nowMs() - retiredMs > RETIRE_EVERY_MS) {
      retire();
    }
  }

  boolean isIdle() {
    return !busy && dispatcher.unpersistedProgress().isEmpty();
  }

  private Transaction fenced() {
    return Transaction.start().expect(StoreKeys.OWNER, held.revision());
  }

  private void keepFleet(List<FleetMember> fleet) {
    Map<String, List<String>> silentTasks = new HashMap<>();
    for (FleetMember member : fleet) {
      member
          .possibleTasks()
          .ifPresent(
              keys ->
                  silentTasks.put(
                      member.entry().id(), keys.stream().map(TaskKey::toString).toList()));
    }
    List<WorkerRegistration> workers = fleet.stream().map(FleetMember::entry).toList();
    commit(
        fenced().write(StoreKeys.FLEET, Json.write(new FleetRecord(workers, silentTasks))),
        revision -> {
          dispatcher.fleetPersisted(fleet);
          LOG.infof(
              "event=fleet-kept workers=%d silent=%d revision=%d",
              fleet.size(), silentTasks.size(), revision);
        },
        current -> {});
  }

  private void keepProgress(ProgressBatch batch) {
    Transaction transaction = fenced();
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
      String key = StoreKeys.progress(entry.jobId());
      long revision =
          current.stream()
              .filter(item -> item.key().equals(key))
              .mapToLong(StoreItem::revision)
              .findFirst()
              .orElse(0);
      dispatcher.correctRevision(entry.jobId(), revision);
    }
  }

  private void retire() {
    long now = NodeContext.nowMs();
    retiredMs = now;
    List<String> jobs = dispatcher.retireJobs(now - RETIRE_AFTER_MS, RETIRED_PER_COMMIT);
    if (jobs.isEmpty()) {
      return;
    }
    Transaction transaction = fenced();
    for (String id : jobs) {
      transaction.remove(StoreKeys.job(id));
      transaction.remove(StoreKeys.cancel(id));
      transaction.remove(StoreKeys.progress(id));
    }
    commit(
        transaction,
        revision -> LOG.infof("event=jobs-retired count=%d", jobs.size()),
        current -> {});
  }

  /** Receives the outcome of a transaction. */
  @FunctionalInterface
  private interface OnCommitted {
    void committed(long revision);
  }

  /** Receives the items that stood in the way of a transaction. */
  @FunctionalInterface
  private interface OnConflict {
    void conflict(List<StoreItem> current);
  }

  private void commit(Transaction transaction, OnCommitted onCommitted, OnConflict onConflict) {
    busy = true;
    commits.inc();
    duty.onResult(
        node.store().commit(transaction),
        reply -> {
          busy = false;
          if (closed) {
            return;
          }
          if (reply instanceof CommitReply.Committed committed) {
            onCommitted.committed(committed.revision());
            onKept.run();
          } else if (reply instanceof CommitReply.Conflict conflict) {
            LOG.warnf("event=keep-conflict items=%d", conflict.current().size());
            onConflict.conflict(conflict.current());
            pauseThenKeep();
          } else {
            LOG.warnf("event=keep-failed reply=%s", reply);
            pauseThenKeep();
          }
        });
  }

  private void pauseThenKeep() {
    busy = true;
    delays.after(
        RETRY_MS,
        () -> {
          busy = false;
          onKept.run();
        });
  }

  @Override
  public void close() {
    closed = true;
  }
}
