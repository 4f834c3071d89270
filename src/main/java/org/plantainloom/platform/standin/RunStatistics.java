package org.plantainloom.platform.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts, over all workers of a stand-in, what ran and whether a promise was broken. */
public final class RunStatistics implements RunObserver {
  private final Map<String, String> running = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private int starts;
  private int overlaps;
  private int repeats;

  @Override
  public synchronized void started(String task, String worker, String payload) {
    starts++;
    if (running.put(task, worker) != null) {
      overlaps++;
    }
    if (done.contains(task)) {
      repeats++;
    }
  }

  @Override
  public synchronized void ended(String task, String worker, String how) {
    running.remove(task, worker);
    if (how.equals("done")) {
      done.add(task);
    }
  }

  @Override
  public synchronized void endReportLost(String task) {
    done.remove(task);
  }

  /** Returns the number of starts. */
  public synchronized int starts() {
    return starts;
  }

  /** Returns the number of tasks that ended well. */
  public synchronized int completedTasks() {
    return done.size();
  }

  /** Returns the number of tasks that run now. */
  public synchronized int runningTasks() {
    return running.size();
  }

  /** Returns how often a task was started while it ran elsewhere. */
  public synchronized int overlaps() {
    return overlaps;
  }

  /** Returns how often a task was started after it had ended well. */
  public synchronized int startsAfterCompletion() {
    return repeats;
  }
}
