package org.plantainloom.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The jobs whose runs have failed on a worker since one has succeeded there, latest last. */
final class FailureWitnesses {
  private final Deque<FailureHistory> jobs = new ArrayDeque<>(0);

  /** The first of them that is not to blame itself. */
  private Optional<FailureHistory> first = Optional.empty();

  /** Adds a failure, unless the one before was of the same job. */
  void add(FailureHistory job, int limit) {
    if (isSoundFor(job)) {
      first = Optional.of(job);
    }
    if (jobs.isEmpty() || !jobs.peekLast().jobId.equals(job.jobId)) {
      jobs.addLast(job);
      if (jobs.size() > limit) {
        jobs.removeFirst();
      }
    }
  }

  /** Returns whether a failure speaks against a job, as no other one has failed here lately. */
  boolean isSoundFor(FailureHistory job) {
    return first.isEmpty() || first.get().isJobBlamed() || first.get().jobId.equals(job.jobId);
  }

  boolean contains(FailureHistory job) {
    return jobs.contains(job);
  }

  /** Returns how many of them speak against the worker: those of jobs that are not to blame. */
  int credible() {
    int count = 0;
    for (FailureHistory job : jobs) {
      count += job.isJobBlamed() ? 0 : 1;
    }
    return count;
  }

  /** Begins to count anew after a suspension, which says nothing of whether it is sound now. */
  void forgetWitnesses() {
    jobs.clear();
  }

  /** Handles a run that has succeeded, or another life of the worker. */
  void clear() {
    jobs.clear();
    first = Optional.empty();
  }
}
