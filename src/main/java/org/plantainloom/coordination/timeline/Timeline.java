package org.plantainloom.coordination.timeline;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.HybridClock;
import org.plantainloom.state.TimelineEvent;

/**
 * Bounded buffer of the latest events of one process.
 *
 * <p>When the buffer is full, the oldest events are overwritten; pages report how many were lost.
 */
public final class Timeline {
  private final HybridClock clock;
  private final String process;
  private final TimelineEvent[] ring;
  private long written;

  /**
   * Creates an empty timeline.
   *
   * @param clock clock that timestamps the events
   * @param process name of the recording process
   * @param capacity maximum number of events kept
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
   * Returns the events starting at a sequence number.
   *
   * @param from first sequence number to return, from 0
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
