package org.plantainloom.coordination.dispatch;

import org.plantainloom.state.job.JobSpec;

/**
 * How much of its heap an owner may need for jobs before no more are accepted.
 *
 * <p>Jobs that were accepted are kept and run, also if that takes more than the budget. The rest of
 * the heap is for them, for what runs, and for the records that a takeover reads. See
 * docs/design/0012.
 *
 * @param bytes the budget
 */
public record JobBudget(long bytes) {
  /** Share of the heap. */
  private static final double HEAP_SHARE = 0.4;

  /** Returns the budget in a heap of a size. */
  public static JobBudget ofHeap(long maxHeapBytes) {
    return new JobBudget((long) (maxHeapBytes * HEAP_SHARE));
  }

  /** Returns how much an open job needs, as estimated. */
  public static long bytesNeeded(JobSpec job) {
    return JobFootprint.ofOpen(job);
  }

  /**
   * Returns how much is left.
   *
   * @param jobBytes what the jobs that were accepted need
   */
  public long bytesLeft(long jobBytes) {
    return Math.max(0, bytes - jobBytes);
  }
}
