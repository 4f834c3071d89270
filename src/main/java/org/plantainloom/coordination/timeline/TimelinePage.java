package org.plantainloom.coordination.timeline;

import java.util.List;
import org.plantainloom.state.TimelineEvent;

/**
 * Part of a process's time line.
 *
 * @param process the recording process
 * @param next sequence number to ask for next
 * @param lost events between the asked and the first returned one that were overwritten
 * @param events the events, oldest first
 */
public record TimelinePage(String process, long next, long lost, List<TimelineEvent> events) {
  /** Creates the page with a copy of its list. */
  public TimelinePage {
    events = List.copyOf(events);
  }
}
