package org.plantainloom.platform.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts starts, completions and illegal starts over all simulated workers. */
public final class RunStatistics implements RunObserver {
  private final Map<String, String> running = new HashMap<>();
  private final Set<String> completed = new HashSet<>();
  private int starts;
  private int overlaps;
  private int startsAfterCompletion;

  @Override
  public synchronized void started(ObservedRun run, String payload) {
    starts++;
    if (running.put(run.task(), run.worker()) != null) {
      overlaps++;
    }
    if (completed.contains(run.task())) {
      startsAfterCompletion++;
    }
  }

  @Override
  public synchronized void ended(ObservedRun run, String outcome) {
    running.remove(run.task(), run.worker());
    if (outcome.equals("done")) {
      completed.add(run.task());
    }
  }

  @Override
  public synchronized void endReportLost(ObservedRun run) {
    completed.remove(run.task());
  }

  /** Returns the number of starts of tasks. */
  public synchronized int starts() {
    return starts;
  }

  /** Returns the number of completed tasks. */
  public synchronized int completedTasks() {
    return completed.size();
  }

  /** Returns the number of running tasks. */
  public synchronized int runningTasks() {
    return running.size();
  }

  /** Returns the number of starts of a task that was already running. */
  public synchronized int overlaps() {
    return overlaps;
  }

  /** Returns the number of starts of a task that was already completed. */
  public synchronized int startsAfterCompletion() {
    return startsAfterCompletion;
  }
}
