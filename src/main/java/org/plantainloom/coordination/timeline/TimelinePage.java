package org.plantainloom.coordination.timeline;

import java.util.List;
import org.plantainloom.state.TimelineEvent;

/**
 * Part of a process's timeline.
 *
 * @param process the recording process
 * @param next sequence number to request next
 * @param lost number of events that were overwritten between the requested sequence number and the
 *     first returned event
 * @param events the events, oldest first
 */
public record TimelinePage(String process, long next, long lost, List<TimelineEvent> events) {
  /** Creates the page with a copy of its list. */
  public TimelinePage {
    events = List.copyOf(events);
  }
}
