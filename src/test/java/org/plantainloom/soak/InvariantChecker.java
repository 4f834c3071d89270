package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainloom.platform.standin.ObservedRun;
import org.plantainloom.platform.standin.RunObserver;
import org.plantainloom.state.job.TaskKey;

/** Checks the invariants of tasks at each start and end that the workers report. */
final class InvariantChecker implements RunObserver {
  /** Processor time of each simulated worker, in thousandths of a core. */
  static final int WORKER_CPU_MILLIS = 8_000;

  /** Marks violations of the rule that a task runs once. */
  static final String RAN_TWICE = "ran twice";

  private final RunHistory history = new RunHistory(SoakRun::nowMs);
  private final Map<String, SoakJob> jobs = new HashMap<>();
  private final Map<String, Set<ObservedRun>> running = new HashMap<>();
  private final Map<String, Integer> cpuInUse = new TreeMap<>();

  /** Runs that ended as done, except those whose end report was lost. */
  private final Map<String, Set<ObservedRun>> done = new HashMap<>();

  private final Set<ObservedRun> acknowledged = new HashSet<>();

  /** Starts after a run that ended as done, by that run, until its end is acknowledged or lost. */
  private final Map<ObservedRun, List<ObservedRun>> startsAfterDone = new HashMap<>();

  /** Tasks that were completed, including those whose end report was lost. */
  private final Set<String> everCompleted = new HashSet<>();

  private final Map<Long, String> ownersByTerm = new ConcurrentHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int starts;

  /** Registers a job before it is submitted; starts of any other job are violations. */
  synchronized void register(SoakJob job) {
    jobs.put(job.id(), job);
  }

  /** Registers the owner of a term, to name it in violations. */
  void registerOwner(long term, String node) {
    ownersByTerm.put(term, node);
  }

  /** Returns the number of the node that owned a term; empty if it is not known. */
  OptionalInt owner(long term) {
    String name = ownersByTerm.get(term);
    return name == null
        ? OptionalInt.empty()
        : OptionalInt.of(Integer.parseInt(name.substring(name.lastIndexOf('-') + 1)));
  }

  /** Returns all runs, for rules that are judged after the run. */
  RunHistory history() {
    return history;
  }

  @Override
  public synchronized void started(ObservedRun run, String payload) {
    starts++;
    history.started(run, payload);
    String task = run.task();
    TaskKey key = TaskKey.parse(task).orElseThrow();
    SoakJob job = jobs.get(key.jobId());
    if (job == null) {
      report("started a task of an unknown job: " + task);
      return;
    }
    check(job.payload().equals(payload), "started with another payload: " + task);
    check(!job.rejected, "started although all submissions of its job were rejected: " + task);
    checkRunsOnce(run);
    for (int i = 0; key.phase() > 0 && i < job.width(); i++) {
      String predecessor = new TaskKey(key.jobId(), 0, key.phase() - 1, i).toString();
      check(
          everCompleted.contains(predecessor),
          task + " started before " + predecessor + " was completed");
    }
    int cpu = cpuInUse.merge(run.worker(), job.cpuMillis(), Integer::sum);
    check(
        cpu <= WORKER_CPU_MILLIS,
        run.worker() + " runs tasks that need " + cpu + " millicores, above its capacity");
  }

  private void checkRunsOnce(ObservedRun run) {
    Set<ObservedRun> current = running.computeIfAbsent(run.task(), task -> new LinkedHashSet<>());
    for (ObservedRun other : current) {
      report(RAN_TWICE + ", two runs at once: " + describe(run) + " while " + describe(other));
    }
    current.add(run);
    for (ObservedRun earlier : done.getOrDefault(run.task(), Set.of())) {
      if (acknowledged.contains(earlier)) {
        report(
            RAN_TWICE
                + ", started after an acknowledged end as done: "
                + describe(run)
                + " after "
                + describe(earlier));
      } else {
        report(
            "started after an end as done that is not acknowledged yet: "
                + describe(run)
                + " after "
                + describe(earlier));
        startsAfterDone.computeIfAbsent(earlier, unused -> new ArrayList<>()).add(run);
      }
    }
  }

  private String describe(ObservedRun run) {
    return "["
        + run.task()
        + " run "
        + run.number()
        + " on "
        + run.worker()
        + " ("
        + run.zone()
        + ", born "
        + run.bornMs()
        + ") from "
        + ownersByTerm.getOrDefault(run.fencingToken(), "an unknown node")
        + " (term "
        + run.fencingToken()
        + ")]";
  }

  @Override
  public synchronized void ended(ObservedRun run, String outcome) {
    history.ended(run, outcome);
    Set<ObservedRun> current = running.getOrDefault(run.task(), new HashSet<>());
    current.remove(run);
    if (current.isEmpty()) {
      running.remove(run.task());
    }
    SoakJob job = jobs.get(TaskKey.parse(run.task()).orElseThrow().jobId());
    cpuInUse.merge(run.worker(), job == null ? 0 : -job.cpuMillis(), Integer::sum);
    if (outcome.equals("done")) {
      done.computeIfAbsent(run.task(), task -> new LinkedHashSet<>()).add(run);
      everCompleted.add(run.task());
    }
  }

  @Override
  public synchronized void endAcknowledged(ObservedRun run) {
    if (!done.getOrDefault(run.task(), Set.of()).contains(run)) {
      return;
    }
    acknowledged.add(run);
    List<ObservedRun> laterStarts = startsAfterDone.remove(run);
    if (laterStarts != null) {
      laterStarts.forEach(
          later ->
              report(
                  RAN_TWICE
                      + ", end as done acknowledged after the next start: "
                      + describe(later)
                      + " after "
                      + describe(run)));
    }
  }

  @Override
  public synchronized void endReportLost(ObservedRun run) {
    history.endReportLost(run);
    done.getOrDefault(run.task(), new HashSet<>()).remove(run);
    startsAfterDone.remove(run);
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      report(violation);
    }
  }

  synchronized void report(String violation) {
    violations.add(SoakRun.nowMs() + " " + System.currentTimeMillis() + " " + violation);
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
