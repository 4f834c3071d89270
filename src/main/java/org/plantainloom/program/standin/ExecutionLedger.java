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

/** Counts at the workers what really ran, to check the promises from outside. */
public final class ExecutionLedger {
  private final Map<String, Integer> requests = new ConcurrentHashMap<>();
  private final Map<TaskId, Set<TaskRef>> running = new HashMap<>();
  private final Map<TaskId, Integer> finished = new HashMap<>();
  private final Set<TaskRef> everStarted = new HashSet<>();
  private final Set<TaskRef> finishedRefs = new TreeSet<>();
  private int overlaps;
  private int repeatedStarts;
  private int overcommits;
  private int starts;
  private long workMs;

  /** Takes note that a request ran. */
  public void recordRequest(String requestId) {
    requests.merge(requestId, 1, Integer::sum);
  }

  /** Takes note that a worker started an incarnation. */
  public synchronized void recordTaskStart(TaskRef ref) {
    starts++;
    if (!everStarted.add(ref)) {
      repeatedStarts++;
    }
    Set<TaskRef> now = running.computeIfAbsent(ref.task(), t -> new HashSet<>());
    now.add(ref);
    if (now.size() > 1) {
      overlaps++;
    }
  }

  /** Takes note that an incarnation ended. */
  public synchronized void recordTaskEnd(TaskRef ref, boolean done) {
    Set<TaskRef> now = running.get(ref.task());
    if (now != null) {
      now.remove(ref);
    }
    if (done) {
      finished.merge(ref.task(), 1, Integer::sum);
      finishedRefs.add(ref);
    }
  }

  /** Takes note of batch work done. */
  public synchronized void recordBatchWork(long ms) {
    workMs += ms;
  }

  /** Takes note that a worker holds more than its capacity. */
  public synchronized void recordOvercommit() {
    overcommits++;
  }

  /** Returns every incarnation that finished. */
  public synchronized Set<TaskRef> finishedIncarnations() {
    return Set.copyOf(finishedRefs);
  }

  /** Returns the counts so far. */
  public synchronized LedgerSummary summary() {
    long doubledRequests = requests.values().stream().filter(n -> n > 1).count();
    long doubledTasks = finished.values().stream().filter(n -> n > 1).count();
    return new LedgerSummary(
        requests.size(),
        (int) doubledRequests,
        starts,
        finished.size(),
        (int) doubledTasks,
        overlaps,
        repeatedStarts,
        overcommits,
        workMs);
  }
}
