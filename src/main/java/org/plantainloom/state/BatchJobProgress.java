package org.plantainloom.state;

/**
 * How far a batch job has come.
 *
 * @param job the job's name
 * @param tasks tasks in the job
 * @param finished tasks that did their work
 * @param cancelled tasks given up on an operator's word
 * @param complete whether nothing is left to run
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
