package org.plantainloom.transport.dispatch;

import java.util.concurrent.TimeUnit;
import org.plantainloom.coordination.dispatch.JobBudget;
import org.plantainloom.state.job.JobSpec;

/**
 * Whether jobs are accepted, as the owner last said. Thread-safe.
 *
 * <p>Jobs are kept in the owner's memory, but any node accepts them. The owner therefore says in
 * its confirmations how much of its budget is left, and all nodes read them.
 */
final class Admission {
  /** Without news for this long there is no owner, and the next one may have more memory. */
  private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private long bytesLeft = Long.MAX_VALUE;
  private long asOfNanos = System.nanoTime();

  /** Handles what the owner says, on this node or another one. */
  synchronized void update(long jobBytesLeft) {
    bytesLeft = jobBytesLeft;
    asOfNanos = System.nanoTime();
  }

  /** Returns what an owner said last; the largest value if none has said anything. */
  synchronized long lastKnownBytesLeft() {
    return bytesLeft;
  }

  /** Returns whether the owner can keep a job. */
  synchronized boolean admits(JobSpec job) {
    return System.nanoTime() - asOfNanos >= MEMORY_NANOS || JobBudget.bytesNeeded(job) <= bytesLeft;
  }

  /** Takes account of an accepted job until the owner, which may not know it yet, says more. */
  synchronized void accepted(JobSpec job) {
    if (bytesLeft != Long.MAX_VALUE) {
      bytesLeft -= JobBudget.bytesNeeded(job);
    }
  }
}
