package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;

/** All jobs, with an index of the unfinished ones and of those with unpersisted progress. */
final class JobTable {
  private final Map<String, JobState> jobs = new HashMap<>();
  private final Map<String, JobState> open = new LinkedHashMap<>();
  private final Set<JobState> dirty = new LinkedHashSet<>();

  JobState add(JobSpec spec, long nowMs) {
    JobState job = new JobState(spec, nowMs);
    jobs.put(spec.id(), job);
    open.put(spec.id(), job);
    return job;
  }

  JobState job(String id) {
    return jobs.get(id);
  }

  /** Returns the unfinished jobs, oldest first. */
  Collection<JobState> openJobs() {
    return open.values();
  }

  void markChanged(JobState job) {
    job.markDirty();
    dirty.add(job);
  }

  void finish(JobState job, JobStatus status, long nowMs) {
    job.status = status;
    job.finishedMs = nowMs;
    open.remove(job.spec.id());
    markChanged(job);
    job.finishedVersion = job.version;
  }

  /** Marks a restored job that was already finished. */
  void restoredAsFinished(JobState job, long nowMs) {
    job.finishedMs = nowMs;
    open.remove(job.spec.id());
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

  /** Removes up to {@code limit} jobs that finished before a time and returns their ids. */
  List<String> retire(long finishedBeforeMs, int limit) {
    List<String> retired = new ArrayList<>();
    for (JobState job : jobs.values()) {
      if (retired.size() < limit
          && job.isFinished()
          && !job.isDirty()
          && job.finishedMs < finishedBeforeMs) {
        retired.add(job.spec.id());
      }
    }
    retired.forEach(jobs::remove);
    return retired;
  }
}
