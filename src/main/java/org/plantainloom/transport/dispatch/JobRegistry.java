package org.plantainloom.transport.dispatch;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.JobBudget;
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

  /** Jobs are written once, so that a second conflict is not expected. */
  private static final int MAX_CANCEL_ATTEMPTS = 3;

  private final GuardedStore store;
  private final Admission admission;
  private final MetricRegistry metrics;
  private final Timer submitTimer;

  JobRegistry(TransactionalStore store, MetricRegistry metrics, Admission admission) {
    this.admission = admission;
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

  /**
   * Stores a job under its id; submitting the same id again has no further effect. A job that was
   * cancelled before it was stored is not accepted any more.
   */
  CompletableFuture<JobReply> submit(JobSpec spec) {
    if (!admission.admits(spec)) {
      return refuseUnlessStored(spec);
    }
    String key = StoreKeys.job(spec.id());
    Transaction transaction =
        Transaction.start()
            .expectAbsent(key)
            .expectAbsent(StoreKeys.cancel(spec.id()))
            .write(key, Json.write(spec));
    Timer.Context timing = submitTimer.time();
    return store
        .commit(transaction)
        .thenCompose(
            reply -> {
              timing.stop();
              if (reply instanceof CommitReply.Committed committed) {
                admission.accepted(spec);
                return succeed(spec.id(), "accepted", "revision=" + committed.revision());
              } else if (reply instanceof CommitReply.Conflict conflict) {
                return replyByItems(spec, conflict.current(), "repeated=true");
              } else if (reply instanceof CommitReply.Refused refused) {
                return fail(spec.id(), JobReply.UNAVAILABLE, refused.reason());
              } else {
                return verifySubmission(spec);
              }
            });
  }

  /** Refuses a job, unless this repeats a submission that was accepted. */
  private CompletableFuture<JobReply> refuseUnlessStored(JobSpec spec) {
    return store
        .list(StoreKeys.job(spec.id()))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return fail(spec.id(), JobReply.UNKNOWN, "submit: " + read);
              }
              return JobItems.of(spec.id(), found.items()).job().isEmpty()
                  ? fail(
                      spec.id(),
                      JobReply.OVERLOADED,
                      "the owner has no room for its "
                          + JobBudget.bytesNeeded(spec)
                          + " bytes in its budget")
                  : replyByItems(spec, found.items(), "repeated=true");
            });
  }

  /** Checks whether a write that got no reply has taken effect. */
  private CompletableFuture<JobReply> verifySubmission(JobSpec spec) {
    return store
        .listBack(StoreKeys.job(spec.id()))
        .thenCompose(
            read ->
                read instanceof ReadReply.Found found
                    ? replyByItems(spec, found.items(), "readBack=true")
                    : fail(spec.id(), JobReply.UNKNOWN, "no reply from the store"));
  }

  /**
   * Replies to a submission by what the store holds. If the job is not readable, it may have been
   * accepted before the damage, or never.
   */
  private CompletableFuture<JobReply> replyByItems(
      JobSpec spec, List<StoreItem> current, String detail) {
    JobItems items = JobItems.of(spec.id(), current);
    if (items.job().isEmpty()) {
      return items.cancellation().isPresent()
          ? fail(spec.id(), JobReply.NO_SUCH_JOB, "submit: " + cancelledBefore(items))
          : fail(spec.id(), JobReply.UNKNOWN, "no reply from the store");
    }
    try {
      StoredJob.parse(spec.id(), items.job().get().value());
    } catch (MalformedMessageException e) {
      return fail(spec.id(), JobReply.UNKNOWN, "submit: " + e.getMessage());
    }
    return succeed(spec.id(), "accepted", detail);
  }

  /**
   * Cancels a job. If it is not stored, a cancellation is stored all the same: the submission may
   * still be on its way, and must not be accepted after the reply that there is no such job.
   */
  CompletableFuture<JobReply> cancel(String jobId) {
    return store
        .list(StoreKeys.job(jobId))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return fail(jobId, JobReply.UNAVAILABLE, "cancel: " + read);
              }
              JobItems items = JobItems.of(jobId, found.items());
              return items.job().isEmpty() && items.cancellation().isPresent()
                  ? fail(jobId, JobReply.NO_SUCH_JOB, "cancel: " + cancelledBefore(items))
                  : cancel(jobId, items.job(), MAX_CANCEL_ATTEMPTS);
            });
  }

  private static String cancelledBefore(JobItems items) {
    return "the store holds a cancellation revision="
        + items.cancellation().map(StoreItem::revision).orElse(0L)
        + " and no job";
  }

  /** Stores a cancellation if the job is still as it was read. */
  private CompletableFuture<JobReply> cancel(
      String jobId, Optional<StoreItem> job, int attemptsLeft) {
    Transaction transaction =
        Transaction.start()
            .expect(StoreKeys.job(jobId), job.map(StoreItem::revision).orElse(0L))
            .write(StoreKeys.cancel(jobId), "{}");
    return store
        .commit(transaction)
        .thenCompose(
            reply -> {
              if (reply instanceof CommitReply.Committed committed) {
                return cancelled(jobId, job, committed.revision());
              } else if (reply instanceof CommitReply.Refused refused) {
                return fail(jobId, JobReply.UNAVAILABLE, refused.reason());
              } else if (reply instanceof CommitReply.Conflict conflict) {
                return cancelChanged(jobId, job, conflict.current(), attemptsLeft - 1);
              }
              return fail(jobId, JobReply.UNKNOWN, "cancel: no reply from the store");
            });
  }

  private CompletableFuture<JobReply> cancelled(
      String jobId, Optional<StoreItem> job, long revision) {
    return job.isPresent()
        ? succeed(jobId, "cancel-accepted", "job=" + job.get().revision() + " revision=" + revision)
        : fail(
            jobId,
            JobReply.NO_SUCH_JOB,
            "cancel: the store held nothing, cancellation stored revision=" + revision);
  }

  private CompletableFuture<JobReply> cancelChanged(
      String jobId, Optional<StoreItem> job, List<StoreItem> current, int attemptsLeft) {
    Optional<StoreItem> changed = JobItems.of(jobId, current).job();
    if (job.isPresent() && changed.isEmpty()) {
      return fail(
          jobId,
          JobReply.NO_SUCH_JOB,
          "cancel: job=" + job.get().revision() + " was removed in the meantime");
    }
    return attemptsLeft > 0
        ? cancel(jobId, changed, attemptsLeft)
        : fail(jobId, JobReply.UNAVAILABLE, "cancel: the job keeps changing");
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
