package org.plantainloom.program.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainloom.protocol.message.LedgerSummary;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskRef;

/**
 * Counts what the workers of the stand-in actually ran, so that the guarantees of the scheduler can
 * be checked independently of its own records.
 */
public final class ExecutionLedger {
  private final Map<String, Integer> runsByRequest = new ConcurrentHashMap<>();
  private final Map<TaskId, Set<TaskRef>> running = new HashMap<>();
  private final Map<TaskId, Integer> finishesByTask = new HashMap<>();
  private final Set<TaskRef> startedIncarnations = new HashSet<>();
  private final Set<TaskRef> finishedIncarnations = new TreeSet<>();
  private int overlaps;
  private int repeatedStarts;
  private int overcommits;
  private int starts;
  private long workMs;

  /** Records one run of a request. */
  public void recordRequest(String requestId) {
    runsByRequest.merge(requestId, 1, Integer::sum);
  }

  /** Records that a worker started an incarnation of a task. */
  public synchronized void recordTaskStart(TaskRef ref) {
    starts++;
    if (!startedIncarnations.add(ref)) {
      repeatedStarts++;
    }
    Set<TaskRef> live = running.computeIfAbsent(ref.task(), t -> new HashSet<>());
    live.add(ref);
    if (live.size() > 1) {
      overlaps++;
    }
  }

  /**
   * Records that an incarnation ended.
   *
   * @param finished whether it ran to completion
   */
  public synchronized void recordTaskEnd(TaskRef ref, boolean finished) {
    Set<TaskRef> live = running.get(ref.task());
    if (live != null) {
      live.remove(ref);
    }
    if (finished) {
      finishesByTask.merge(ref.task(), 1, Integer::sum);
      finishedIncarnations.add(ref);
    }
  }

  /** Adds batch work done, in milliseconds. */
  public synchronized void recordBatchWork(long ms) {
    workMs += ms;
  }

  /** Records that the live tasks of a worker exceed its capacity. */
  public synchronized void recordOvercommit() {
    overcommits++;
  }

  /** Returns all incarnations that ran to completion. */
  public synchronized Set<TaskRef> finishedIncarnations() {
    return Set.copyOf(finishedIncarnations);
  }

  /** Returns the counts so far. */
  public synchronized LedgerSummary summary() {
    long repeatedRequests = runsByRequest.values().stream().filter(n -> n > 1).count();
    long repeatedTasks = finishesByTask.values().stream().filter(n -> n > 1).count();
    return new LedgerSummary(
        runsByRequest.size(),
        (int) repeatedRequests,
        starts,
        finishesByTask.size(),
        (int) repeatedTasks,
        overlaps,
        repeatedStarts,
        overcommits,
        workMs);
  }
}
