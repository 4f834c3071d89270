package org.plantainloom.transport.http;

import com.codahale.metrics.MetricRegistry;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.timeline.Timeline;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.HybridClock;
import org.plantainloom.state.TimeSource;
import org.plantainloom.state.TimelineEvent;

/**
 * What all parts of one process share.
 *
 * @param name the process's name on the time line
 * @param time the wall clock
 * @param clock the hybrid logical clock
 * @param timeline the process's time line
 * @param metrics the process's metrics
 */
public record ProcessContext(
    String name, TimeSource time, HybridClock clock, Timeline timeline, MetricRegistry metrics) {
  private static final Logger LOG = Logger.getLogger("timeline");
  private static final int TIMELINE_EVENTS = 8192;

  /** Returns the context of a new process. */
  public static ProcessContext create(String name) {
    TimeSource time = System::currentTimeMillis;
    HybridClock clock = new HybridClock(time);
    return new ProcessContext(
        name, time, clock, new Timeline(clock, name, TIMELINE_EVENTS), new MetricRegistry());
  }

  /** Records an event on the time line and in the log. */
  public void record(EventKind kind, Object subject, String detail) {
    TimelineEvent event = timeline.record(kind, subject, detail);
    LOG.infof("%s %s %s", event.kind(), event.subject(), event.detail());
  }

  /** Returns the time in milliseconds since the epoch. */
  public long nowMs() {
    return time.nowMs();
  }
}
