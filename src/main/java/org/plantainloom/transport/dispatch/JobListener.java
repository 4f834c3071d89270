package org.plantainloom.transport.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;

/**
 * Passes the stored jobs and cancellations to the dispatcher: those of before the takeover together
 * with their progress, then each change.
 */
final class JobListener implements PrefixWatch.Listener {
  private static final Logger LOG = Logger.getLogger(JobListener.class);

  private final Dispatcher dispatcher;
  private final Runnable scheduleRound;

  /**
   * Jobs that could not be restored. Former owners may have run their tasks, so that they must not
   * be taken for new jobs when their keys change.
   */
  private final Set<String> unrestoredJobs = new HashSet<>();

  JobListener(Dispatcher dispatcher, Runnable scheduleRound) {
    this.dispatcher = dispatcher;
    this.scheduleRound = scheduleRound;
  }

  /** Restores the jobs of before the takeover. */
  void restoreAll(List<StoreItem> jobs, List<StoreItem> progress) {
    long now = NodeContext.nowMs();
    Map<String, StoreItem> progressById = new HashMap<>();
    progress.forEach(
        item -> StoreKeys.jobId(item.key()).ifPresent(id -> progressById.put(id, item)));
    Set<String> cancelled = new HashSet<>();
    for (StoreItem item : jobs) {
      Optional<String> id = StoreKeys.jobId(item.key());
      if (id.isEmpty()) {
        LOG.warnf("event=foreign-key key=%s", item.key());
      } else if (StoreKeys.isCancel(item.key())) {
        cancelled.add(id.get());
      } else {
        Optional<StoreItem> itsProgress = Optional.ofNullable(progressById.get(id.get()));
        readJob(id.get(), item.value())
            .ifPresentOrElse(spec -> restore(spec, itsProgress, now), () -> doNotRestore(id.get()));
      }
    }
    cancelled.forEach(id -> dispatcher.jobCancelled(id, now));
    dispatcher.jobsRestored();
  }

  private void restore(JobSpec spec, Optional<StoreItem> stored, long now) {
    long revision = stored.map(StoreItem::revision).orElse(0L);
    try {
      JobProgress progress =
          stored.map(item -> StoredProgress.parse(spec, item.value())).orElse(JobProgress.NONE);
      dispatcher.restoreJob(spec, progress, revision, now);
    } catch (MalformedMessageException e) {
      restoreWithoutProgress(spec, revision, e.getMessage(), now);
    }
  }

  /**
   * Handles a job of which it is not known which tasks have finished. Tasks that last never do, so
   * they go on. Any other task may not run again: the dispatcher does not get to know the job, and
   * therefore stops what runs of it, as it could not store how that ends.
   */
  private void restoreWithoutProgress(JobSpec spec, long revision, String reason, long now) {
    boolean lasting = spec.phases().stream().allMatch(PhaseSpec::lasting);
    LOG.errorf(
        "event=progress-unreadable id=%s reason=%s effect=%s",
        spec.id(), reason, lasting ? "failures and checkpoints are lost" : "no task runs any more");
    if (lasting) {
      dispatcher.restoreJob(spec, JobProgress.NONE, revision, now);
    } else {
      doNotRestore(spec.id());
    }
  }

  private void doNotRestore(String jobId) {
    unrestoredJobs.add(jobId);
    dispatcher.jobUnreadable(jobId);
  }

  private static Optional<JobSpec> readJob(String id, String text) {
    try {
      return Optional.of(StoredJob.parse(id, text));
    } catch (MalformedMessageException e) {
      LOG.errorf("event=job-unreadable id=%s reason=%s", id, e.getMessage());
      return Optional.empty();
    }
  }

  @Override
  public void onSnapshot(List<StoreItem> items) {
    PrefixWatch.forEach(items, item -> apply(item.key(), item.value()));
  }

  @Override
  public void onChange(StoreEvent event) {
    event.value().ifPresent(value -> apply(event.key(), value));
  }

  private void apply(String key, String value) {
    Optional<String> id = StoreKeys.jobId(key);
    if (id.isEmpty()) {
      LOG.warnf("event=foreign-key key=%s", key);
    } else if (StoreKeys.isCancel(key)) {
      dispatcher.jobCancelled(id.get(), NodeContext.nowMs());
    } else if (!unrestoredJobs.contains(id.get())) {
      readJob(id.get(), value)
          .ifPresent(spec -> dispatcher.jobSubmitted(spec, NodeContext.nowMs()));
    }
    scheduleRound.run();
  }

  @Override
  public void onComplete(long sentMs, long sentWallMs) {
    dispatcher.jobsKnownAsOf(sentMs, sentWallMs);
  }
}
