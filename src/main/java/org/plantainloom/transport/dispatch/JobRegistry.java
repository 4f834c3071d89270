package org.plantainloom.transport.dispatch;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.TransactionalStore;

/**
 * Submits and cancels jobs and reads their status on any node. A job is accepted when the store has
 * committed it, whichever node received it.
 */
final class JobRegistry {
  private static final Logger LOG = Logger.getLogger(JobRegistry.class);

  private final GuardedStore store;
  private final MetricRegistry metrics;
  private final Timer submitTimer;

  JobRegistry(TransactionalStore store, MetricRegistry metrics) {
    this.store = new GuardedStore(store);
    this.metrics = metrics;
    this.submitTimer = metrics.timer("jobs.submit");
  }

  /** Returns whether requests are refused because the store serves none. */
  boolean isStoreUnavailable() {
    return store.isUnavailable();
  }

  /** Tests whether an unavailable store is back, if that is due. */
  void tick(long nowMs) {
    store.probeIfDue(nowMs);
  }

  /** Stores a job under its id; submitting the same id again has no further effect. */
  CompletableFuture<JobReply> submit(JobSpec spec) {
    String key = StoreKeys.job(spec.id());
    Transaction transaction = Transaction.start().expectAbsent(key).write(key, Json.write(spec));
    Timer.Context timing = submitTimer.time();
    return store
        .commit(transaction)
        .thenCompose(
            reply -> {
              timing.stop();
              if (reply instanceof CommitReply.Committed committed) {
                return succeed(spec.id(), "accepted", "revision=" + committed.revision());
              } else if (reply instanceof CommitReply.Conflict conflict) {
                return acceptIfStored(spec, conflict.current(), "repeated=true");
              } else if (reply instanceof CommitReply.Refused refused) {
                return fail(spec.id(), JobReply.UNAVAILABLE, refused.reason());
              } else {
                return verifySubmission(spec);
              }
            });
  }

  /** Checks whether a write that got no reply has taken effect. */
  private CompletableFuture<JobReply> verifySubmission(JobSpec spec) {
    return store
        .readBack(StoreKeys.job(spec.id()))
        .thenCompose(
            read ->
                read instanceof ReadReply.Found found
                    ? acceptIfStored(spec, found.items(), "readBack=true")
                    : fail(spec.id(), JobReply.UNKNOWN, "no reply from the store"));
  }

  /**
   * Replies to a submission by what its key holds. If that is not readable, the job may have been
   * accepted before the damage, or never.
   */
  private CompletableFuture<JobReply> acceptIfStored(
      JobSpec spec, List<StoreItem> current, String detail) {
    Optional<StoreItem> stored =
        current.stream().filter(item -> item.key().equals(StoreKeys.job(spec.id()))).findFirst();
    if (stored.isEmpty()) {
      return fail(spec.id(), JobReply.UNKNOWN, "no reply from the store");
    }
    try {
      StoredJob.parse(spec.id(), stored.get().value());
    } catch (MalformedMessageException e) {
      return fail(spec.id(), JobReply.UNKNOWN, "submit: " + e.getMessage());
    }
    return succeed(spec.id(), "accepted", detail);
  }

  CompletableFuture<JobReply> cancel(String jobId) {
    return store
        .read(StoreKeys.job(jobId))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return fail(jobId, JobReply.UNAVAILABLE, "cancel: " + read);
              }
              Optional<StoreItem> job = found.items().stream().findFirst();
              return job.isEmpty()
                  ? fail(jobId, JobReply.NO_SUCH_JOB, "cancel: the store has no such job")
                  : cancel(jobId, job.get().revision());
            });
  }

  private CompletableFuture<JobReply> cancel(String jobId, long jobRevision) {
    Transaction transaction =
        Transaction.start()
            .expect(StoreKeys.job(jobId), jobRevision)
            .write(StoreKeys.cancel(jobId), "{}");
    return store
        .commit(transaction)
        .thenCompose(
            reply -> {
              if (reply instanceof CommitReply.Committed) {
                return succeed(jobId, "cancel-accepted", "");
              } else if (reply instanceof CommitReply.Refused refused) {
                return fail(jobId, JobReply.UNAVAILABLE, refused.reason());
              } else if (reply instanceof CommitReply.Conflict) {
                return fail(jobId, JobReply.NO_SUCH_JOB, "cancel: job was removed in the meantime");
              }
              return fail(jobId, JobReply.UNKNOWN, "cancel: no reply from the store");
            });
  }

  /** Returns the status of a job; a job without stored progress is queued. */
  CompletableFuture<JobReply> status(String jobId) {
    return store
        .read(StoreKeys.progress(jobId))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return fail(jobId, JobReply.UNAVAILABLE, "status: " + read);
              }
              return status(jobId, found.items().stream().findFirst().map(StoreItem::value));
            });
  }

  /** Reads the job, too, as its progress can be checked only against its tasks. */
  private CompletableFuture<JobReply> status(String jobId, Optional<String> progress) {
    return store
        .read(StoreKeys.job(jobId))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return fail(jobId, JobReply.UNAVAILABLE, "status: " + read);
              }
              if (found.items().isEmpty()) {
                return progress.isEmpty()
                    ? fail(jobId, JobReply.NO_SUCH_JOB, "status: the store has no such job")
                    : fail(jobId, JobReply.UNAVAILABLE, "status: progress without a job");
              }
              return status(jobId, found.items().get(0).value(), progress);
            });
  }

  private CompletableFuture<JobReply> status(String jobId, String job, Optional<String> progress) {
    try {
      JobSpec spec = StoredJob.parse(jobId, job);
      return statusReply(
          progress.map(text -> StoredProgress.parse(spec, text).status()).orElse(JobStatus.QUEUED));
    } catch (MalformedMessageException e) {
      return fail(jobId, JobReply.UNAVAILABLE, "status: " + e.getMessage());
    }
  }

  private static CompletableFuture<JobReply> statusReply(JobStatus status) {
    return CompletableFuture.completedFuture(JobReply.withStatus(status));
  }

  private CompletableFuture<JobReply> succeed(String jobId, String event, String detail) {
    LOG.info("event=" + event + " id=" + jobId + " " + detail);
    metrics.counter("jobs." + event).inc();
    return CompletableFuture.completedFuture(JobReply.DONE);
  }

  private CompletableFuture<JobReply> fail(String jobId, JobReply reply, String reason) {
    LOG.warn("event=not-served id=" + jobId + " answer=" + reply.kind() + " reason=" + reason);
    metrics.counter("jobs.answered." + reply.kind()).inc();
    return CompletableFuture.completedFuture(reply);
  }
}
