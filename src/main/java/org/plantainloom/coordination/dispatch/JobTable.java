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

/** The jobs, those that are not over, and those whose progress is not kept yet. */
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

  /** Returns the jobs that are not over, oldest first. */
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

  /** Takes a job out of the open ones that was over when it was read. */
  void restoredAsFinished(JobState job, long nowMs) {
    job.finishedMs = nowMs;
    open.remove(job.spec.id());
  }

  boolean hasDirty() {
    return !dirty.isEmpty();
  }

  List<ProgressBatch.Entry> dirtyEntries(int most) {
    List<ProgressBatch.Entry> entries = new ArrayList<>();
    for (JobState job : dirty) {
      if (entries.size() == most) {
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

  /** Takes note of the revision under which a job's progress stands, after a conflict. */
  void correctRevision(String jobId, long revision) {
    JobState job = jobs.get(jobId);
    if (job != null) {
      job.progressRevision = revision;
    }
  }

  /** Forgets jobs that were over for a while and returns their ids. */
  List<String> retire(long finishedBeforeMs, int most) {
    List<String> retired = new ArrayList<>();
    for (JobState job : jobs.values()) {
      if (retired.size() < most
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
