package org.plantainloom.coordination.dispatch;

import java.util.Comparator;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.QueueConfig;

/**
 * The order in which ready phases get resources when not all of them fit.
 *
 * <p>Lasting tasks that have run go first, whatever their queue: they had their room before, so
 * that they take none from the others, and each second without them is one without their service.
 * Then urgent queues go first. Within a priority, jobs that can still meet their objective go
 * first, the one with the least slack before the others: they return their room within seconds.
 * Then come lasting tasks, whose value grows with every second that they serve, then jobs that are
 * late but still count, then the rest. Without the preference for jobs that can be on time, a
 * backlog would spend all resources on jobs that are already late, and every new job would become
 * late behind them.
 */
final class PhaseRanking {
  /** A job that takes longer than this many times its objective counts as missed, not as late. */
  private static final int MISSED_OBJECTIVE_FACTOR = 3;

  private ClusterConfig config;

  PhaseRanking(ClusterConfig config) {
    this.config = config;
  }

  void configure(ClusterConfig newConfig) {
    config = newConfig;
  }

  /** Kinds of phase within a priority, in the order in which they get resources. */
  enum Group {
    ON_TIME,
    LASTING,
    LATE,
    MISSED
  }

  /**
   * Position of a phase among the waiting ones; the smallest goes first.
   *
   * @param again whether the tasks last and have run
   * @param priority the queue's priority
   * @param group order of the kinds of phase within a priority
   * @param latestStartMs latest start of the phase that keeps the objective; for lasting tasks the
   *     time at which they became due
   * @param acceptedMs when the job was accepted
   */
  record Rank(boolean again, int priority, Group group, long latestStartMs, long acceptedMs)
      implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
        Comparator.comparing((Rank rank) -> !rank.again())
            .thenComparingInt(Rank::priority)
            .thenComparing(Rank::group)
            .thenComparingLong(Rank::latestStartMs)
            .thenComparingLong(Rank::acceptedMs);

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }
  }

  /**
   * Returns the position of some tasks of a phase.
   *
   * @param again whether they last and have run
   */
  Rank rank(PhaseState phase, boolean again, long wallMs) {
    JobState job = phase.job;
    QueueConfig queue = config.queue(job.spec.queue()).orElse(null);
    int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
    long releasedMs = Math.max(job.spec.acceptedMs(), job.spec.dueMs(phase.occurrence));
    if (phase.spec.lasting()) {
      return new Rank(again, priority, Group.LASTING, releasedMs, job.spec.acceptedMs());
    }
    double stretchFactor = queue == null ? 1 : queue.stretchFactor();
    long fixedMs = queue == null ? 0 : queue.objectiveMs();
    long objectiveMs = (long) (stretchFactor * criticalPathMs(job, 0)) + fixedMs;
    long finishMs = wallMs + remainingPathMs(job, phase);
    Group group;
    if (finishMs <= releasedMs + objectiveMs) {
      group = Group.ON_TIME;
    } else {
      boolean late = finishMs <= releasedMs + MISSED_OBJECTIVE_FACTOR * objectiveMs;
      group = late ? Group.LATE : Group.MISSED;
    }
    return new Rank(
        false,
        priority,
        group,
        releasedMs + objectiveMs - remainingPathMs(job, phase),
        job.spec.acceptedMs());
  }

  private static long remainingPathMs(JobState job, PhaseState phase) {
    return criticalPathMs(job, phase.index);
  }

  /** Returns the estimated critical path of the phases from an index on, in milliseconds. */
  private static long criticalPathMs(JobState job, int fromPhase) {
    int count = job.spec.phases().size();
    long[] finishMs = new long[count];
    long longestMs = 0;
    for (int i = fromPhase; i < count; i++) {
      PhaseSpec spec = job.spec.phases().get(i);
      long startMs = 0;
      for (int before : spec.after()) {
        startMs = Math.max(startMs, finishMs[before]);
      }
      finishMs[i] = startMs + spec.estimateMs();
      longestMs = Math.max(longestMs, finishMs[i]);
    }
    return longestMs;
  }
}
