package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.plantainloom.state.job.TaskKey;

/** What the workers have run, and which tasks have run twice by it. */
final class RunLedger {
  private final LongSupplier clock;
  private final Map<TaskKey, Long> lastStarts = new HashMap<>();
  private final Set<TaskKey> acknowledgedTasks = new HashSet<>();
  private final List<String> violations = new ArrayList<>();

  RunLedger(LongSupplier clock) {
    this.clock = clock;
  }

  long now() {
    return clock.getAsLong();
  }

  void add(String violation) {
    if (!violations.contains(violation)) {
      violations.add(violation);
    }
  }

  void started(TaskKey task, long run, String workerId) {
    lastStarts.put(task, now());
    if (acknowledgedTasks.contains(task)) {
      add(task + "#" + run + "@" + workerId + " starts after its end was acknowledged");
    }
  }

  /** Handles that the end of a run that succeeded is acknowledged to its worker. */
  void doneAcknowledged(TaskKey task, long run, long endedMs, String workerId) {
    acknowledgedTasks.add(task);
    if (lastStarts.get(task) > endedMs) {
      add(task + "#" + run + "@" + workerId + " ended before another start, then acknowledged");
    }
  }

  /** Checks that no task runs on two workers. */
  void checkOverlaps(List<HandoverWorker> workers) {
    Map<TaskKey, String> running = new HashMap<>();
    for (HandoverWorker worker : workers) {
      for (TaskKey task : worker.runningTasks()) {
        String other = running.put(task, worker.id());
        if (other != null) {
          add(task + " runs on " + other + " and " + worker.id());
        }
      }
    }
  }

  List<String> violations() {
    return violations;
  }
}
