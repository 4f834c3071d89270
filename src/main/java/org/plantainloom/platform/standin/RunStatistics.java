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
  public synchronized void started(String task, String worker, String payload) {
    starts++;
    if (running.put(task, worker) != null) {
      overlaps++;
    }
    if (completed.contains(task)) {
      startsAfterCompletion++;
    }
  }

  @Override
  public synchronized void ended(String task, String worker, String outcome) {
    running.remove(task, worker);
    if (outcome.equals("done")) {
      completed.add(task);
    }
  }

  @Override
  public synchronized void endReportLost(String task) {
    completed.remove(task);
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
