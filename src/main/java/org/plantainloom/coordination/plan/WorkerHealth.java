package org.plantainloom.coordination.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.WorkerId;

/**
 * Decides which workers are set aside because distinct tasks fail on them in a row.
 *
 * <p>Distinct tasks are counted, so that one task that fails everywhere does not set workers aside;
 * such a task is set aside itself, see {@link PlannerPolicy#failuresToSetAside()}.
 */
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

  /** Records a failure; returns whether the worker is set aside because of it. */
  boolean recordFailure(WorkerId worker, TaskId task, long nowMs) {
    FailureHistory history = histories.computeIfAbsent(worker, w -> new FailureHistory());
    history.failedTasks.add(task);
    // A worker that was set aside and has had no success since is set aside at its next failure.
    int limit = history.timesSetAside > 0 ? 1 : policy.workerStrikes();
    if (history.failedTasks.size() < limit || nowMs < history.setAsideUntilMs) {
      return false;
    }
    history.failedTasks.clear();
    history.timesSetAside++;
    history.setAsideUntilMs = nowMs + policy.workerPauseMs(history.timesSetAside);
    return true;
  }

  void recordSuccess(WorkerId worker) {
    histories.remove(worker);
  }

  boolean isSetAside(WorkerId worker, long nowMs) {
    FailureHistory history = histories.get(worker);
    return history != null && nowMs < history.setAsideUntilMs;
  }
}
