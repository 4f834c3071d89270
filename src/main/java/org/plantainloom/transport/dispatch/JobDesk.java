package org.plantainloom.transport.dispatch;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.TransactionalStore;

/** Accepts, cancels and shows jobs on any node; the store decides, not the node. */
final class JobDesk {
  private static final Logger LOG = Logger.getLogger(JobDesk.class);

  private final TransactionalStore store;
  private final MetricRegistry metrics;
  private final Timer submissions;

  JobDesk(TransactionalStore store, MetricRegistry metrics) {
    this.store = store;
    this.metrics = metrics;
    this.submissions = metrics.timer("jobs.submit");
  }

  /** Keeps a job under its id; a repeated submission of the same id is the same job. */
  CompletableFuture<JobReply> submit(JobSpec spec) {
    String key = StoreKeys.job(spec.id());
    Transaction transaction = Transaction.start().expectAbsent(key).write(key, Json.write(spec));
    Timer.Context timing = submissions.time();
    return store
        .commit(transaction)
        .thenCompose(
            reply -> {
              timing.stop();
              if (reply instanceof CommitReply.Committed committed) {
                return done(spec.id(), "accepted", "revision=" + committed.revision());
              } else if (reply instanceof CommitReply.Conflict) {
                return done(spec.id(), "accepted", "repeated=true");
              } else if (reply instanceof CommitReply.Refused refused) {
                return answer(spec.id(), JobReply.UNAVAILABLE, refused.reason());
              } else {
                return readBack(spec);
              }
            });
  }

  /** Finds out whether a write without an answer was carried out. */
  private CompletableFuture<JobReply> readBack(JobSpec spec) {
    return store
        .read(StoreKeys.job(spec.id()))
        .thenCompose(
            read ->
                read instanceof ReadReply.Found found && !found.items().isEmpty()
                    ? done(spec.id(), "accepted", "readBack=true")
                    : answer(spec.id(), JobReply.UNKNOWN, "no answer of the store"));
  }

  /** Cancels a job. */
  CompletableFuture<JobReply> cancel(String jobId) {
    return store
        .read(StoreKeys.job(jobId))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return answer(jobId, JobReply.UNAVAILABLE, "cancel: " + read);
              }
              Optional<StoreItem> job = found.items().stream().findFirst();
              return job.isEmpty()
                  ? answer(jobId, JobReply.NO_SUCH_JOB, "cancel")
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
                return done(jobId, "cancel-accepted", "");
              } else if (reply instanceof CommitReply.Refused refused) {
                return answer(jobId, JobReply.UNAVAILABLE, refused.reason());
              } else if (reply instanceof CommitReply.Conflict) {
                return answer(jobId, JobReply.NO_SUCH_JOB, "cancel: retired meanwhile");
              }
              return answer(jobId, JobReply.UNKNOWN, "cancel: no answer of the store");
            });
  }

  /** Returns what has become of a job. */
  CompletableFuture<JobReply> status(String jobId) {
    return store
        .read(StoreKeys.progress(jobId))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return answer(jobId, JobReply.UNAVAILABLE, "status: " + read);
              }
              return found.items().isEmpty()
                  ? statusWithoutProgress(jobId)
                  : shown(Json.read(found.items().get(0).value(), JobProgress.class).status());
            });
  }

  private CompletableFuture<JobReply> statusWithoutProgress(String jobId) {
    return store
        .read(StoreKeys.job(jobId))
        .thenCompose(
            read -> {
              if (!(read instanceof ReadReply.Found found)) {
                return answer(jobId, JobReply.UNAVAILABLE, "status: " + read);
              }
              return found.items().isEmpty()
                  ? answer(jobId, JobReply.NO_SUCH_JOB, "status")
                  : shown(JobStatus.QUEUED);
            });
  }

  private static CompletableFuture<JobReply> shown(JobStatus status) {
    return CompletableFuture.completedFuture(JobReply.shown(status));
  }

  private CompletableFuture<JobReply> done(String jobId, String event, String detail) {
    LOG.info("event=" + event + " id=" + jobId + " " + detail);
    metrics.counter("jobs." + event).inc();
    return CompletableFuture.completedFuture(JobReply.DONE);
  }

  private CompletableFuture<JobReply> answer(String jobId, JobReply reply, String reason) {
    LOG.warn("event=not-served id=" + jobId + " answer=" + reply.kind() + " reason=" + reason);
    metrics.counter("jobs.answered." + reply.kind()).inc();
    return CompletableFuture.completedFuture(reply);
  }
}
