package org.plantainloom.program.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainloom.protocol.message.LedgerSummary;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskRef;

/** Counts at the workers what really ran, to check the promises from outside. */
final class ExecutionLedger {
  private final Map<String, Integer> requests = new ConcurrentHashMap<>();
  private final Map<TaskId, Set<TaskRef>> running = new HashMap<>();
  private final Map<TaskId, Integer> finished = new HashMap<>();
  private int overlaps;
  private int overcommits;
  private int starts;
  private long workMs;

  void requestRan(String requestId) {
    requests.merge(requestId, 1, Integer::sum);
  }

  synchronized void taskStarted(TaskRef ref) {
    starts++;
    Set<TaskRef> now = running.computeIfAbsent(ref.task(), t -> new HashSet<>());
    now.add(ref);
    if (now.size() > 1) {
      overlaps++;
    }
  }

  synchronized void taskEnded(TaskRef ref, boolean done) {
    Set<TaskRef> now = running.get(ref.task());
    if (now != null) {
      now.remove(ref);
    }
    if (done) {
      finished.merge(ref.task(), 1, Integer::sum);
    }
  }

  synchronized void worked(long ms) {
    workMs += ms;
  }

  synchronized void overcommitted() {
    overcommits++;
  }

  synchronized LedgerSummary summary() {
    long doubledRequests = requests.values().stream().filter(n -> n > 1).count();
    long doubledTasks = finished.values().stream().filter(n -> n > 1).count();
    return new LedgerSummary(
        requests.size(),
        (int) doubledRequests,
        starts,
        finished.size(),
        (int) doubledTasks,
        overlaps,
        overcommits,
        workMs);
  }
}
