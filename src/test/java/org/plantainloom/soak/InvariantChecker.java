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

/** Checks the promises about tasks while they run, from what the workers do. */
final class InvariantChecker implements RunObserver {
  /** Processor time of each stand-in worker, in thousandths of a core. */
  static final int WORKER_CPU_MILLIS = 8_000;

  /** A start so long after a cancellation was acknowledged is one too many, in milliseconds. */
  private static final long CANCEL_MS = 3_000;

  private final Map<String, SoakJob> jobs = new HashMap<>();
  private final Map<String, String> running = new HashMap<>();
  private final Map<String, Integer> cpuInUse = new TreeMap<>();
  private final Set<String> done = new HashSet<>();

  /** As {@link #done}, with the ends that were lost before their acknowledgement. */
  private final Set<String> everDone = new HashSet<>();

  private final List<String> broken = new ArrayList<>();
  private int starts;

  /** Announces a job before it is handed in. */
  synchronized void announce(SoakJob job) {
    jobs.put(job.id(), job);
  }

  @Override
  public synchronized void started(String task, String worker, String payload) {
    starts++;
    TaskKey key = TaskKey.parse(task).orElseThrow();
    SoakJob job = jobs.get(key.jobId());
    if (job == null) {
      report("a task of no job was started: " + task);
      return;
    }
    check(job.payload().equals(payload), "started with another payload: " + task);
    check(!job.refused, "started although every try to hand it in was refused: " + task);
    check(
        job.cancelledMs == 0 || SoakRun.nowMs() - job.cancelledMs < CANCEL_MS,
        "started long after its job was cancelled: " + task);
    String elsewhere = running.put(task, worker);
    check(elsewhere == null, "runs on " + worker + " and on " + elsewhere + ": " + task);
    check(!done.contains(task), "started after it was done: " + task);
    for (int i = 0; key.phase() > 0 && i < job.width(); i++) {
      String before = new TaskKey(key.jobId(), 0, key.phase() - 1, i).toString();
      check(everDone.contains(before), task + " started before " + before + " was done");
    }
    int cpu = cpuInUse.merge(worker, job.cpuMillis(), Integer::sum);
    check(cpu <= WORKER_CPU_MILLIS, worker + " has " + cpu + " millis of processor time in use");
  }

  @Override
  public synchronized void ended(String task, String worker, String how) {
    running.remove(task, worker);
    SoakJob job = jobs.get(TaskKey.parse(task).orElseThrow().jobId());
    cpuInUse.merge(worker, job == null ? 0 : -job.cpuMillis(), Integer::sum);
    if (how.equals("done")) {
      done.add(task);
      everDone.add(task);
    }
  }

  @Override
  public synchronized void endReportLost(String task) {
    done.remove(task);
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      report(violation);
    }
  }

  synchronized void report(String violation) {
    broken.add(SoakRun.nowMs() + " " + violation);
  }

  /** Returns how many tasks of a job run now. */
  synchronized long runningOf(String jobId) {
    return running.keySet().stream().filter(task -> task.startsWith(jobId)).count();
  }

  synchronized int starts() {
    return starts;
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }
}
