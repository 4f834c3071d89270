package org.plantainloom.transport.http;

import com.codahale.metrics.MetricRegistry;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.timeline.Timeline;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.HybridClock;
import org.plantainloom.state.TimeSource;
import org.plantainloom.state.TimelineEvent;

/**
 * Clocks, timeline and metrics that all components of a process share.
 *
 * @param name name of the process in the timeline
 * @param time the wall clock
 * @param clock the hybrid logical clock
 * @param timeline the process's timeline
 * @param metrics the process's metrics
 */
public record ProcessContext(
    String name, TimeSource time, HybridClock clock, Timeline timeline, MetricRegistry metrics) {
  private static final Logger LOG = Logger.getLogger("timeline");
  private static final int TIMELINE_CAPACITY = 8192;

  /** Returns the context of a new process. */
  public static ProcessContext create(String name) {
    TimeSource time = System::currentTimeMillis;
    HybridClock clock = new HybridClock(time);
    return new ProcessContext(
        name, time, clock, new Timeline(clock, name, TIMELINE_CAPACITY), new MetricRegistry());
  }

  /** Records an event in the timeline and in the log. */
  public void record(EventKind kind, Object subject, String detail) {
    TimelineEvent event = timeline.record(kind, subject, detail);
    LOG.infof("%s %s %s", event.kind(), event.subject(), event.detail());
  }

  /** Returns the wall clock time in milliseconds since the epoch. */
  public long nowMs() {
    return time.nowMs();
  }
}
