package org.plantainloom.coordination.timeline;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.HybridClock;
import org.plantainloom.state.TimelineEvent;

/**
 * Bounded record of the latest events of one process.
 *
 * <p>When it is full the oldest events are overwritten; the loss shows in the sequence numbers and
 * is counted.
 */
public final class Timeline {
  private final HybridClock clock;
  private final String process;
  private final TimelineEvent[] ring;
  private long written;

  /**
   * Creates an empty time line.
   *
   * @param clock stamps the events
   * @param process name of the recording process
   * @param capacity events kept at most
   */
  public Timeline(HybridClock clock, String process, int capacity) {
    this.clock = clock;
    this.process = process;
    this.ring = new TimelineEvent[capacity];
  }

  /** Records an event and returns it. */
  public synchronized TimelineEvent record(EventKind kind, Object subject, String detail) {
    TimelineEvent event =
        new TimelineEvent(clock.tick(), process, kind, subject.toString(), detail);
    ring[(int) (written % ring.length)] = event;
    written++;
    return event;
  }

  /**
   * Returns the events from a sequence number on.
   *
   * @param from first sequence number wanted, from 0
   */
  public synchronized TimelinePage page(long from) {
    long oldest = Math.max(0, written - ring.length);
    long first = Math.max(from, oldest);
    List<TimelineEvent> events = new ArrayList<>();
    for (long i = first; i < written; i++) {
      events.add(ring[(int) (i % ring.length)]);
    }
    return new TimelinePage(process, written, Math.max(0, oldest - from), events);
  }
}
