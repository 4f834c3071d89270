package org.plantainloom.coordination.dispatch;

import java.util.Comparator;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.QueueConfig;

/**
 * The order in which ready phases get resources when not all of them fit.
 *
 * <p>Lasting tasks that have run go first, whatever their queue, if there is room for one more
 * again and again: the platform counts such a task as lost, though the owner gives each place to
 * the next short task. Its room was its own before. Then urgent queues go first. Within a priority,
 * jobs that can still meet their objective go first, the one with the least slack before the
 * others: they return their room within seconds. Then come lasting tasks, whose value grows with
 * every second that they serve, then jobs that are late but still count, then the rest. Without the
 * preference for jobs that can be on time, a backlog would spend all resources on jobs that are
 * already late, and every new job would become late behind them.
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
   * @param first whether the tasks go before all others
   * @param priority the queue's priority
   * @param group order of the kinds of phase within a priority
   * @param latestStartMs latest start of the phase that keeps the objective; for lasting tasks the
   *     time at which they became due
   * @param acceptedMs when the job was accepted
   */
  record Rank(boolean first, int priority, Group group, long latestStartMs, long acceptedMs)
      implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
        Comparator.comparing((Rank rank) -> !rank.first())
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
   * @param first whether they go before all others
   */
  Rank rank(PhaseState phase, boolean first, long wallMs) {
    JobState job = phase.job;
    QueueConfig queue = config.queue(job.spec.queue()).orElse(null);
    int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
    long releasedMs = Math.max(job.spec.acceptedMs(), job.spec.dueMs(phase.occurrence.number));
    if (phase.spec.lasting()) {
      return new Rank(first, priority, Group.LASTING, releasedMs, job.spec.acceptedMs());
    }
    double stretchFactor = queue == null ? 1 : queue.stretchFactor();
    long fixedMs = queue == null ? 0 : queue.objectiveMs();
    long objectiveMs = (long) (stretchFactor * job.criticalPathMs(0)) + fixedMs;
    long finishMs = wallMs + job.criticalPathMs(phase.index);
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
        releasedMs + objectiveMs - job.criticalPathMs(phase.index),
        job.spec.acceptedMs());
  }
}
