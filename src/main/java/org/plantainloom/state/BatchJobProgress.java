package org.plantainloom.state;

/**
 * Progress of a batch job.
 *
 * @param job the job's name
 * @param tasks number of tasks in the job
 * @param finished number of tasks that finished their work
 * @param cancelled number of tasks that an operator cancelled
 * @param complete whether no task is left to run
 */
public record BatchJobProgress(
    String job, int tasks, int finished, int cancelled, boolean complete) {
  /** Returns a copy with one more finished task. */
  public BatchJobProgress withFinished() {
    return new BatchJobProgress(
        job, tasks, finished + 1, cancelled, finished + 1 + cancelled >= tasks);
  }

  /** Returns a copy with more cancelled tasks. */
  public BatchJobProgress withCancelled(int more) {
    return new BatchJobProgress(
        job, tasks, finished, cancelled + more, finished + cancelled + more >= tasks);
  }
}
