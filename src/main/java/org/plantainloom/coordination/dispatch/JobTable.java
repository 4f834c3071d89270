package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerSnapshot;

/**
 * All jobs, with an index of the unfinished ones and of those with unpersisted progress. Of a
 * finished job, little is kept once its end is stored and nothing of it runs.
 */
final class JobTable {
  private final Map<String, JobState> jobs = new HashMap<>();
  private final Map<String, FinishedJob> finished = new HashMap<>();
  private final Map<String, JobState> open = new LinkedHashMap<>();
  private final Set<JobState> dirty = new LinkedHashSet<>();
  private final RetiredJobs retired = new RetiredJobs();

  /** Jobs that are stored, but not readable; they never become known. */
  private final Set<String> unreadable = new HashSet<>();

  /** When cancellations of jobs that are not stored became known; such a job never runs. */
  private final Map<String, Long> cancelledBeforeStored = new LinkedHashMap<>();

  /** Finished jobs of which something may run, or whose end is not stored. */
  private final Set<JobState> ending = new LinkedHashSet<>();

  private long openBytes;

  JobState add(JobSpec spec, long nowMs) {
    JobState job = new JobState(spec, nowMs);
    jobs.put(spec.id(), job);
    open.put(spec.id(), job);
    openBytes += job.footprintBytes;
    return job;
  }

  /** Adds a job that had finished before this ownership began. */
  void addFinished(String id, JobStatus status, long nowMs) {
    finished.put(id, new FinishedJob(status, nowMs));
  }

  /** Returns a job; null if it is unknown, or finished and nothing of it runs. */
  JobState job(String id) {
    return jobs.get(id);
  }

  /** Returns whether a job is known, finished or not. */
  boolean isKnown(String id) {
    return jobs.containsKey(id) || finished.containsKey(id);
  }

  /** Returns the status that callers may see; empty if the job is unknown. */
  Optional<JobStatus> visibleStatus(String id) {
    JobState job = jobs.get(id);
    return job != null
        ? Optional.of(job.visibleStatus())
        : Optional.ofNullable(finished.get(id)).map(FinishedJob::status);
  }

  /** Returns an estimate of the heap that the jobs need, in bytes. */
  long estimatedBytes() {
    return openBytes + (ending.size() + finished.size()) * JobFootprint.FINISHED_JOB_BYTES;
  }

  /** Handles a stored job that cannot be restored. */
  void unreadable(String id) {
    unreadable.add(id);
  }

  /** Handles the cancellation of a job that is not known. */
  void cancelledBeforeStored(String id, long nowMs) {
    if (!finished.containsKey(id) && !retired.contains(id) && !unreadable.contains(id)) {
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
    return !isKnown(id) && !retired.contains(id) && !unreadable.contains(id);
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
    if (open.remove(job.spec.id()) != null) {
      openBytes -= job.footprintBytes;
    }
    ending.add(job);
    markChanged(job);
    job.finishedVersion = job.version;
  }

  /** Keeps only the status of finished jobs whose end is stored and of which nothing runs. */
  private void releaseEnded() {
    for (Iterator<JobState> it = ending.iterator(); it.hasNext(); ) {
      JobState job = it.next();
      if (!job.isDirty() && job.openOccurrences().isEmpty()) {
        it.remove();
        jobs.remove(job.spec.id());
        finished.put(job.spec.id(), new FinishedJob(job.status, job.finishedMs));
      }
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
    releaseEnded();
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
    releaseEnded();
    finished.forEach(
        (id, job) -> {
          if (ids.size() < limit && job.finishedMs() < finishedBeforeMs) {
            ids.add(id);
          }
        });
    for (String id : ids) {
      if (finished.remove(id) != null || takeCancellation(id)) {
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
