package org.plantainloom.coordination.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.WorkerId;

/** Tells workers that fail whatever they start from tasks that fail wherever they run. */
final class WorkerHealth {
  private final PlannerPolicy policy;
  private final Map<WorkerId, FailureHistory> histories = new HashMap<>();

  private static final class FailureHistory {
    private final Set<TaskId> failedTasks = new HashSet<>();
    private int timesSetAside;
    private long setAsideUntilMs;
  }

  WorkerHealth(PlannerPolicy policy) {
    this.policy = policy;
  }

  /** Counts a failure; returns whether the worker is set aside because of it. */
  boolean recordFailure(WorkerId worker, TaskId task, long nowMs) {
    FailureHistory known = histories.computeIfAbsent(worker, w -> new FailureHistory());
    known.failedTasks.add(task);
    int limit = known.timesSetAside > 0 ? 1 : policy.workerStrikes();
    if (known.failedTasks.size() < limit || nowMs < known.setAsideUntilMs) {
      return false;
    }
    known.failedTasks.clear();
    known.timesSetAside++;
    known.setAsideUntilMs = nowMs + policy.workerPauseMs(known.timesSetAside);
    return true;
  }

  void recordSuccess(WorkerId worker) {
    histories.remove(worker);
  }

  boolean isSetAside(WorkerId worker, long nowMs) {
    FailureHistory known = histories.get(worker);
    return known != null && nowMs < known.setAsideUntilMs;
  }
}
