package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.plantainloom.platform.standin.RunObserver;
import org.plantainloom.state.job.TaskKey;

/** Checks the invariants of tasks at each start and end that the workers report. */
final class InvariantChecker implements RunObserver {
  /** Processor time of each simulated worker, in thousandths of a core. */
  static final int WORKER_CPU_MILLIS = 8_000;

  /** A start later than this time after the job's cancellation was acknowledged is a violation. */
  private static final long CANCEL_GRACE_MS = 3_000;

  private final Map<String, SoakJob> jobs = new HashMap<>();
  private final Map<String, String> running = new HashMap<>();
  private final Map<String, Integer> cpuInUse = new TreeMap<>();
  private final Set<String> completed = new HashSet<>();

  /** Like {@link #completed}, but keeps tasks whose end report was lost. */
  private final Set<String> everCompleted = new HashSet<>();

  private final List<String> violations = new ArrayList<>();
  private int starts;

  /** Registers a job before it is submitted; starts of any other job are violations. */
  synchronized void register(SoakJob job) {
    jobs.put(job.id(), job);
  }

  @Override
  public synchronized void started(String task, String worker, String payload) {
    starts++;
    TaskKey key = TaskKey.parse(task).orElseThrow();
    SoakJob job = jobs.get(key.jobId());
    if (job == null) {
      report("started a task of an unknown job: " + task);
      return;
    }
    check(job.payload().equals(payload), "started with another payload: " + task);
    check(!job.rejected, "started although all submissions of its job were rejected: " + task);
    check(
        job.cancelAcknowledgedMs == 0
            || SoakRun.nowMs() - job.cancelAcknowledgedMs < CANCEL_GRACE_MS,
        "started too long after its job was cancelled: " + task);
    String elsewhere = running.put(task, worker);
    check(elsewhere == null, "runs on " + worker + " and on " + elsewhere + ": " + task);
    check(!completed.contains(task), "started after it was completed: " + task);
    for (int i = 0; key.phase() > 0 && i < job.width(); i++) {
      String predecessor = new TaskKey(key.jobId(), 0, key.phase() - 1, i).toString();
      check(
          everCompleted.contains(predecessor),
          task + " started before " + predecessor + " was completed");
    }
    int cpu = cpuInUse.merge(worker, job.cpuMillis(), Integer::sum);
    check(
        cpu <= WORKER_CPU_MILLIS,
        worker + " runs tasks that need " + cpu + " millicores, above its capacity");
  }

  @Override
  public synchronized void ended(String task, String worker, String outcome) {
    running.remove(task, worker);
    SoakJob job = jobs.get(TaskKey.parse(task).orElseThrow().jobId());
    cpuInUse.merge(worker, job == null ? 0 : -job.cpuMillis(), Integer::sum);
    if (outcome.equals("done")) {
      completed.add(task);
      everCompleted.add(task);
    }
  }

  @Override
  public synchronized void endReportLost(String task) {
    completed.remove(task);
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      report(violation);
    }
  }

  synchronized void report(String violation) {
    violations.add(SoakRun.nowMs() + " " + violation);
  }

  /** Returns the number of running tasks of a job. */
  synchronized long runningTasks(String jobId) {
    return running.keySet().stream().filter(task -> task.startsWith(jobId)).count();
  }

  synchronized int starts() {
    return starts;
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
