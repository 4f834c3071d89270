package org.plantainloom.coordination.dispatch;

import java.util.Comparator;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.QueueConfig;

/**
 * The order in which phases get room.
 *
 * <p>Answers the load in which more is ready than fits: urgent queues go first; within a priority
 * lasting tasks, whose value grows with each second that they serve, then jobs that can still meet
 * their objective, the one with the least time left first, then jobs that are late but still count,
 * then the rest. Without the second step a backlog would spend all room on jobs that are late
 * already, and each new one would become late behind them.
 */
final class PhaseRanking {
  /** An answer later than this many times the objective is no longer counted as late but missed. */
  private static final int MISSED_OBJECTIVE_FACTOR = 3;

  private ClusterConfig config;

  PhaseRanking(ClusterConfig config) {
    this.config = config;
  }

  void configure(ClusterConfig newConfig) {
    config = newConfig;
  }

  /** Position of a phase among those that wait; smaller goes first. */
  record Rank(int priority, int lateness, long dueMs, long submittedMs)
      implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
        Comparator.comparingInt(Rank::priority)
            .thenComparingInt(Rank::lateness)
            .thenComparingLong(Rank::dueMs)
            .thenComparingLong(Rank::submittedMs);

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }
  }

  Rank rank(PhaseState phase, long wallMs) {
    JobState job = phase.job;
    QueueConfig queue = config.queue(job.spec.queue()).orElse(null);
    int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
    long from = Math.max(job.spec.acceptedMs(), job.spec.dueMs(phase.occurrence));
    if (phase.spec.lasting()) {
      return new Rank(priority, -1, from, job.spec.acceptedMs());
    }
    double stretch = queue == null ? 1 : queue.stretchFactor();
    long fixed = queue == null ? 0 : queue.objectiveMs();
    long objective = (long) (stretch * chainMs(job, 0)) + fixed;
    long finish = wallMs + remainingChainMs(job, phase);
    int lateness;
    if (finish <= from + objective) {
      lateness = 0;
    } else {
      lateness = finish <= from + MISSED_OBJECTIVE_FACTOR * objective ? 1 : 2;
    }
    return new Rank(
        priority, lateness, from + objective - remainingChainMs(job, phase), job.spec.acceptedMs());
  }

  private static long remainingChainMs(JobState job, PhaseState phase) {
    return chainMs(job, phase.index);
  }

  /** Returns the estimated length of the longest chain of phases from one on, in milliseconds. */
  private static long chainMs(JobState job, int fromPhase) {
    int count = job.spec.phases().size();
    long[] finish = new long[count];
    long longest = 0;
    for (int i = fromPhase; i < count; i++) {
      PhaseSpec spec = job.spec.phases().get(i);
      long start = 0;
      for (int before : spec.after()) {
        start = Math.max(start, finish[before]);
      }
      finish[i] = start + spec.estimateMs();
      longest = Math.max(longest, finish[i]);
    }
    return longest;
  }
}
