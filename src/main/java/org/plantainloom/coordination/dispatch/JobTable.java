package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerSnapshot;

/** All jobs, with an index of the unfinished ones and of those with unpersisted progress. */
final class JobTable {
  private final Map<String, JobState> jobs = new HashMap<>();
  private final Map<String, JobState> open = new LinkedHashMap<>();
  private final Set<JobState> dirty = new LinkedHashSet<>();
  private final RetiredJobs retired = new RetiredJobs();

  /** Jobs that are stored, but not readable; they never become known. */
  private final Set<String> unreadable = new HashSet<>();

  /** When cancellations of jobs that are not stored became known; such a job never runs. */
  private final Map<String, Long> cancelledBeforeStored = new LinkedHashMap<>();

  private long openBytes;

  JobState add(JobSpec spec, long nowMs) {
    JobState job = new JobState(spec, nowMs);
    jobs.put(spec.id(), job);
    open.put(spec.id(), job);
    openBytes += job.footprintBytes;
    return job;
  }

  JobState job(String id) {
    return jobs.get(id);
  }

  /** Returns an estimate of the heap that the jobs need, in bytes. */
  long estimatedBytes() {
    return openBytes + (jobs.size() - open.size()) * JobFootprint.FINISHED_JOB_BYTES;
  }

  /** Handles a stored job that cannot be restored. */
  void unreadable(String id) {
    unreadable.add(id);
  }

  /** Handles the cancellation of a job that is not known. */
  void cancelledBeforeStored(String id, long nowMs) {
    if (!retired.contains(id) && !unreadable.contains(id)) {
      cancelledBeforeStored.putIfAbsent(id, nowMs);
    }
  }

  /** Returns whether a job was cancelled before it became known, and forgets that. */
  boolean takeCancellation(String id) {
    return cancelledBeforeStored.remove(id) != null;
  }

  /** Returns whether a job may be stored without being known here yet. */
  private boolean mayBecomeKnown(TaskKey task) {
    String id = task.jobId();
    return !jobs.containsKey(id) && !retired.contains(id) && !unreadable.contains(id);
  }

  /**
   * Returns the part of a worker's report that concerns known jobs, marked as incomplete if that is
   * not all. Ends are reported up to the first one of another job, as they are acknowledged in
   * their order.
   */
  WorkerSnapshot knownPart(WorkerSnapshot snapshot) {
    List<ActiveRun> running =
        snapshot.running().stream().filter(run -> !mayBecomeKnown(run.task())).toList();
    List<EndedRun> ended =
        snapshot.ended().stream().takeWhile(end -> !mayBecomeKnown(end.task())).toList();
    boolean isWhole =
        running.size() == snapshot.running().size() && ended.size() == snapshot.ended().size();
    return new WorkerSnapshot(
        snapshot.clockMs(),
        snapshot.startedAtMs(),
        running,
        ended,
        snapshot.listsAllEnds() && isWhole);
  }

  /** Returns the unfinished jobs, oldest first. */
  Collection<JobState> openJobs() {
    return open.values();
  }

  /** Returns the number of jobs of a queue of which no task has started yet. */
  int queuedCount(String queue) {
    return (int)
        open.values().stream()
            .filter(job -> job.status == JobStatus.QUEUED && job.spec.queue().equals(queue))
            .count();
  }

  void markChanged(JobState job) {
    job.markDirty();
    dirty.add(job);
  }

  void finish(JobState job, JobStatus status, long nowMs) {
    job.status = status;
    job.finishedMs = nowMs;
    removeOpen(job);
    markChanged(job);
    job.finishedVersion = job.version;
  }

  /** Marks a restored job that was already finished. */
  void restoredAsFinished(JobState job, long nowMs) {
    job.finishedMs = nowMs;
    removeOpen(job);
  }

  private void removeOpen(JobState job) {
    if (open.remove(job.spec.id()) != null) {
      openBytes -= job.footprintBytes;
    }
  }

  boolean hasDirty() {
    return !dirty.isEmpty();
  }

  List<ProgressBatch.Entry> dirtyEntries(int limit) {
    List<ProgressBatch.Entry> entries = new ArrayList<>();
    for (JobState job : dirty) {
      if (entries.size() == limit) {
        break;
      }
      entries.add(
          new ProgressBatch.Entry(
              job.spec.id(), job.progress(), job.progressRevision, job.version));
    }
    return entries;
  }

  void progressPersisted(ProgressBatch.Entry entry, long revision) {
    JobState job = jobs.get(entry.jobId());
    if (job == null) {
      return;
    }
    job.progressRevision = revision;
    job.persistedVersion = Math.max(job.persistedVersion, entry.version());
    if (!job.isDirty()) {
      dirty.remove(job);
    }
  }

  /** Sets the stored revision of a job's progress after a write conflict. */
  void correctRevision(String jobId, long revision) {
    JobState job = jobs.get(jobId);
    if (job != null) {
      job.progressRevision = revision;
    }
  }

  /**
   * Forgets jobs that finished, or were cancelled without being stored, before a time. Returns up
   * to {@code limit} ids of jobs to remove from the store, including those of earlier calls until
   * {@link #removed} confirms them.
   */
  List<String> retire(long finishedBeforeMs, int limit) {
    List<String> ids = retired.unconfirmed(limit);
    cancelledBeforeStored.forEach(
        (id, cancelledMs) -> {
          if (ids.size() < limit && cancelledMs < finishedBeforeMs) {
            ids.add(id);
          }
        });
    for (JobState job : jobs.values()) {
      if (ids.size() < limit
          && job.isFinished()
          && !job.isDirty()
          && job.finishedMs < finishedBeforeMs) {
        ids.add(job.spec.id());
      }
    }
    for (String id : ids) {
      if (jobs.remove(id) != null || takeCancellation(id)) {
        retired.add(id);
      }
    }
    return ids;
  }

  /** Handles that the store has removed jobs. */
  void removed(List<String> jobIds, long nowMs) {
    retired.removed(jobIds, nowMs);
  }

  /** Returns whether a job was finished and removed, or is to be removed from the store. */
  boolean isRetired(String jobId) {
    return retired.contains(jobId);
  }
}
